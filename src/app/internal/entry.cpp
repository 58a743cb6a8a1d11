#include "entry.h"

#include <csignal>
#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/batch/batchmodule.h"
#include "eelgrasspost/membership/membershipmodule.h"
#include "eelgrasspost/ownership/ownershipmodule.h"
#include "eelgrasspost/releasenote/releasenotemodule.h"
#include "eelgrasspost/routing/routingmodule.h"
#include "operatordoor.h"

namespace eelgrasspost::app {

namespace asio = net::asio;

namespace {

auto ClientOptions(const EntrySettings& aSettings) -> net::HttpClientOptions
{
  net::HttpClientOptions out;
  out.mBindIp = aSettings.mBindIp;
  return out;
}

} // namespace

Entry::Entry(EntrySettings aSettings)
  : mSettings(std::move(aSettings))
  , mPool(mSettings.mThreads)
  , mHttpClient(mSettings.mThreads, ClientOptions(mSettings))
  , mMessageClient(mSettings.mThreads, mSettings.mBindIp)
  , mMessageServer(mPool)
  , mDatagrams(mPool)
  , mHttpServer(mPool, {}, [this](net::HttpRequest aRequest) {
    return Answer(std::move(aRequest));
  })
{
}

Entry::~Entry() = default;

auto Entry::ListenControl() -> absl::StatusOr<net::Address>
{
  const auto bound = mMessageServer.Listen(mSettings.mControl);
  if (!bound.ok()) {
    return bound.status();
  }
  return mDatagrams.Bind(
    *bound, [this](std::string_view aBytes) { mMembership->Receive(aBytes); });
}

auto Entry::MakeModules(const net::Address& aControl) -> void
{
  mTable = platform::MakeHttpTable(mHttpClient, mSettings.mTable);
  mObjectStore =
    platform::MakeHttpObjectStore(mHttpClient, mSettings.mObjectStore);
  mVmList = platform::MakeHttpVmList(mHttpClient, mSettings.mVmList);
  mWorker = platform::MakeHttpWorker(mHttpClient);
  membership::MemberIdentity self;
  self.mId = mSettings.mId;
  self.mIncarnation = static_cast<std::uint64_t>(base::WallClockMs());
  self.mRegion = mSettings.mRegion;
  self.mFailureDomain = mSettings.mFailureDomain;
  self.mControl =
    mSettings.mAdvertise.mPort == 0 ? aControl : mSettings.mAdvertise;
  mMembership = membership::MakeMembership(
    self, {}, [this](const net::Address& aTo, std::string_view aBytes) {
      mDatagrams.Send(aTo, aBytes);
    });
  mMembership->AddContacts(mSettings.mSeeds);
  mNotes = releasenote::MakeReleaseNotes(*mTable, {});
  mOwnership = ownership::MakeOwnership({ *mVmList,
                                          *mWorker,
                                          *mTable,
                                          *mMembership,
                                          mMessageClient,
                                          mMetrics,
                                          mPool.Executor(0) },
                                        {});
  ownership::HandleHandOvers(mMessageServer, *mOwnership);
  mRouter = routing::MakeRouter({ mHttpClient,
                                  mMessageClient,
                                  *mTable,
                                  *mMembership,
                                  *mOwnership,
                                  *mNotes,
                                  mMetrics });
  routing::HandleForwards(mMessageServer, *mRouter, mMetrics);
  mJobs = batch::MakeJobs({ *mTable, *mWorker, *mOwnership }, {});
}

auto Entry::Start() -> absl::Status
{
  const auto control = ListenControl();
  if (!control.ok()) {
    return control.status();
  }
  MakeModules(*control);
  const auto http = mHttpServer.Listen(mSettings.mHttp);
  if (!http.ok()) {
    return http.status();
  }
  const auto control0 = mPool.Executor(0);
  mPool.Spawn(control0, mMembership->Run());
  mPool.Spawn(control0, mNotes->Run());
  mPool.Spawn(control0, mOwnership->Run());
  mPool.Spawn(control0, mJobs->Run());
  mPool.Spawn(control0, WaitForSignal());
  std::cout << "listening http=" << net::ToString(*http)
            << " control=" << net::ToString(*control) << std::endl;
  return absl::OkStatus();
}

auto Entry::Run() -> void
{
  mPool.Run();
}

auto Entry::WaitForSignal() -> net::Task<void>
{
  auto signals = asio::signal_set(mPool.Executor(0), SIGTERM, SIGINT);
  co_await signals.async_wait(asio::use_awaitable);
  co_await StopGracefully();
}

auto Entry::StopGracefully() -> net::Task<void>
{
  constexpr auto kBalancerNotice = base::Milliseconds(1500);
  constexpr auto kCheckInterval = base::Milliseconds(20);
  constexpr auto kQuietTime = base::Milliseconds(400);
  constexpr auto kHandOverLimit = base::Milliseconds(3000);
  mStopping = true;
  mMembership->Leave();
  co_await mOwnership->HandOver(base::MonotonicClock::now() + kHandOverLimit);
  co_await net::Sleep(kBalancerNotice);
  mHttpServer.StopAccepting();
  // A busy caller's connection closes after its next answer; a stop at the
  // first quiet moment would cut off the request that is arriving.
  auto quiet = base::Milliseconds(0);
  while (quiet < kQuietTime) {
    co_await net::Sleep(kCheckInterval);
    quiet = mHttpServer.InFlight() > 0 ? base::Milliseconds(0)
                                       : quiet + kCheckInterval;
  }
  mPool.Stop();
}

auto Entry::Answer(net::HttpRequest aRequest) -> net::Task<net::HttpResponse>
{
  if (aRequest.mTarget.starts_with("/services/")) {
    co_return co_await routing::AnswerCaller(
      *mRouter, *mNotes, std::move(aRequest));
  }
  auto parts = OperatorParts{ mMetrics, *mMembership, *mOwnership,
                              *mNotes,  *mJobs,       mStopping };
  // Operators' modules belong to thread 0.
  co_return co_await asio::co_spawn(mPool.Executor(0),
                                    AnswerOperator(parts, std::move(aRequest)),
                                    asio::use_awaitable);
}

} // namespace eelgrasspost::app

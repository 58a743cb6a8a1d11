#include "entry.h"

#include <csignal>
#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/batch/batchmodule.h"
#include "eelgrasspost/idempotency/idempotencymodule.h"
#include "eelgrasspost/membership/membershipmodule.h"
#include "eelgrasspost/ownership/ownershipmodule.h"
#include "eelgrasspost/platform/iworker.h"
#include "eelgrasspost/releasenote/releasenotemodule.h"
#include "eelgrasspost/routing/routingmodule.h"
#include "operatorhandler.h"

namespace eelgrasspost::app {

namespace asio = net::asio;

namespace {

constexpr auto kDrainCheck = base::Milliseconds(20);

auto ClientOptions(const EntrySettings& aSettings) -> net::HttpClientOptions
{
  net::HttpClientOptions out;
  out.mBindIp = aSettings.mBindIp;
  out.mEchoField = platform::kAttemptIdField;
  return out;
}

auto ServerOptions() -> net::HttpServerOptions
{
  net::HttpServerOptions out;
  // What cannot be parsed has reached no endpoint.
  out.mErrorResponseFields = { { "Outcome", "not_run" } };
  return out;
}

auto StoreOptions(const EntrySettings& aSettings)
  -> platform::StoreClientOptions
{
  platform::StoreClientOptions out;
  out.mReadsPerSecond = static_cast<double>(aSettings.mStoreReads);
  out.mWritesPerSecond = static_cast<double>(aSettings.mStoreWrites);
  out.mSeed =
    static_cast<std::uint32_t>(std::hash<std::string>()(aSettings.mId));
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
  , mHttpServer(mPool, ServerOptions(), [this](net::HttpRequest aRequest) {
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
  mHttpTable = platform::MakeHttpTable(mHttpClient, mSettings.mTable);
  mTable =
    platform::MakeStoreClient(*mHttpTable, mMetrics, StoreOptions(mSettings));
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
  mMembership->AddSeeds(mSettings.mSeeds);
  mNotes = releasenote::MakeReleaseNotes(
    { *mTable, *mObjectStore, *mMembership, mMessageClient, mMetrics }, {});
  releasenote::RegisterPullHandler(mMessageServer, mPool.Executor(0), *mNotes);
  mAudit = audit::MakeAuditTrail(*mTable, {});
  mOwnership = ownership::MakeOwnership({ *mVmList,
                                          *mWorker,
                                          *mTable,
                                          *mMembership,
                                          mMessageClient,
                                          mMetrics,
                                          mPool.Executor(0) },
                                        {});
  ownership::RegisterHandOverHandler(mMessageServer, *mOwnership);
  mKeys = idempotency::MakeIdempotency(
    { *mTable,
      *mObjectStore,
      mPool.Executor(0),
      mMetrics,
      base::Cat(self.mId, "-", self.mIncarnation) },
    { mSettings.mKeyRetention });
  mRouter = routing::MakeRouter({ mHttpClient,
                                  mMessageClient,
                                  *mTable,
                                  *mMembership,
                                  *mOwnership,
                                  *mNotes,
                                  mMetrics,
                                  { mSettings.mChoicePolicy } });
  routing::RegisterForwardHandler(mMessageServer, *mRouter, mMetrics);
  mJobs = batch::MakeJobs({ *mTable,
                            *mWorker,
                            *mOwnership,
                            *mMembership,
                            *mNotes,
                            mMetrics,
                            mMessageClient },
                          {});
  batch::RegisterPlaceTasksHandler(mMessageServer, *mJobs, mPool.Executor(0));
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
  mPool.Spawn(control0, mRouter->Run());
  mPool.Spawn(control0, mJobs->Run());
  mPool.Spawn(control0, ShareTable());
  mPool.Spawn(control0, mKeys->Run());
  mPool.Spawn(control0, WaitForSignal());
  std::cout << "listening http=" << net::ToString(*http)
            << " control=" << net::ToString(*control) << std::endl;
  return absl::OkStatus();
}

auto Entry::Run() -> void
{
  mPool.Run();
}

auto Entry::ShareTable() -> net::Task<void>
{
  constexpr auto kInterval = base::Milliseconds(1000);
  while (true) {
    mTable->SetEntries(mMembership->View()->mMembers.size());
    co_await net::Sleep(kInterval);
  }
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
  constexpr auto kHandOverLimit = base::Milliseconds(3000);
  mStopping = true;
  mMembership->Leave();
  co_await mOwnership->HandOverAll(base::MonotonicClock::now() +
                                   kHandOverLimit);
  co_await net::Sleep(kBalancerNotice);
  co_await DrainCallers();
  co_await DrainForwards();
  co_await FinishRecording();
  mPool.Stop();
}

auto Entry::DrainCallers() -> net::Task<void>
{
  // Within it each answer says that its connection closes.
  constexpr auto kGrace = base::Milliseconds(1000);
  mHttpServer.StopAccepting();
  co_await net::Sleep(kGrace);
  while (mHttpServer.Connections() > 0) {
    mHttpServer.CloseIdleConnections();
    co_await net::Sleep(kDrainCheck);
  }
}

auto Entry::DrainForwards() -> net::Task<void>
{
  // Other entries may still hold an older view of who owns a worker.
  constexpr auto kQuiet = base::Milliseconds(300);
  auto taken = mMessageServer.ReceivedCount();
  auto quietSince = base::MonotonicClock::now();
  while (base::MonotonicClock::now() - quietSince < kQuiet) {
    co_await net::Sleep(kDrainCheck);
    if (mMessageServer.InFlight() > 0 ||
        mMessageServer.ReceivedCount() != taken) {
      taken = mMessageServer.ReceivedCount();
      quietSince = base::MonotonicClock::now();
    }
  }
}

auto Entry::FinishRecording() -> net::Task<void>
{
  constexpr auto kLimit = base::Milliseconds(10000);
  const auto until = base::MonotonicClock::now() + kLimit;
  while (mKeys->Recording() > 0 && base::MonotonicClock::now() < until) {
    co_await net::Sleep(kDrainCheck);
  }
}

auto Entry::Answer(net::HttpRequest aRequest) -> net::Task<net::HttpResponse>
{
  if (aRequest.mTarget.starts_with("/services/")) {
    co_return co_await routing::HandleServiceRequest(
      *mRouter, *mNotes, *mKeys, std::move(aRequest));
  }
  auto parts = OperatorParts{ mMetrics, *mMembership, *mOwnership, *mNotes,
                              *mJobs,   *mAudit,      mStopping };
  // Operators' modules belong to thread 0.
  co_return co_await asio::co_spawn(mPool.Executor(0),
                                    AnswerOperator(parts, std::move(aRequest)),
                                    asio::use_awaitable);
}

} // namespace eelgrasspost::app

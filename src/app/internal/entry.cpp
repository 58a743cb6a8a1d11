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

constexpr auto kDrainPollInterval = base::Milliseconds(20);

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
  // A request that cannot be parsed has not reached any endpoint.
  out.mErrorResponseFields = { { "Outcome", "not_run" } };
  return out;
}

auto StoreOptions(const EntrySettings& aSettings)
  -> platform::StoreClientOptions
{
  platform::StoreClientOptions out;
  out.mReadsPerSecond = static_cast<double>(aSettings.mStoreReadsPerSecond);
  out.mWritesPerSecond = static_cast<double>(aSettings.mStoreWritesPerSecond);
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
    return HandleRequest(std::move(aRequest));
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
  mIdempotency = idempotency::MakeIdempotency(
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
  const auto controlExecutor = mPool.Executor(0);
  mPool.Spawn(controlExecutor, mMembership->Run());
  mPool.Spawn(controlExecutor, mNotes->Run());
  mPool.Spawn(controlExecutor, mOwnership->Run());
  mPool.Spawn(controlExecutor, mRouter->Run());
  mPool.Spawn(controlExecutor, mJobs->Run());
  mPool.Spawn(controlExecutor, UpdateTableShare());
  mPool.Spawn(controlExecutor, mIdempotency->Run());
  mPool.Spawn(controlExecutor, WaitForSignal());
  std::cout << "listening http=" << net::ToString(*http)
            << " control=" << net::ToString(*control) << std::endl;
  return absl::OkStatus();
}

auto Entry::Run() -> void
{
  mPool.Run();
}

auto Entry::UpdateTableShare() -> net::Task<void>
{
  constexpr auto kInterval = base::Milliseconds(1000);
  while (true) {
    mTable->SetEntryCount(mMembership->View()->mMembers.size());
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
  constexpr auto kLoadBalancerDrainTime = base::Milliseconds(1500);
  constexpr auto kHandOverTimeout = base::Milliseconds(3000);
  mIsStopping = true;
  mMembership->Leave();
  co_await mOwnership->HandOverAll(base::MonotonicClock::now() +
                                   kHandOverTimeout);
  co_await net::Sleep(kLoadBalancerDrainTime);
  co_await DrainCallers();
  co_await DrainForwards();
  co_await DrainRecords();
  mPool.Stop();
}

auto Entry::DrainCallers() -> net::Task<void>
{
  // Every response in this time announces that its connection will close.
  constexpr auto kCloseNoticeTime = base::Milliseconds(1000);
  mHttpServer.StopAccepting();
  co_await net::Sleep(kCloseNoticeTime);
  while (mHttpServer.Connections() > 0) {
    mHttpServer.CloseIdleConnections();
    co_await net::Sleep(kDrainPollInterval);
  }
}

auto Entry::DrainForwards() -> net::Task<void>
{
  // Entries with an outdated view of worker ownership may still forward
  // requests.
  constexpr auto kIdleTime = base::Milliseconds(300);
  auto received = mMessageServer.ReceivedCount();
  auto idleSince = base::MonotonicClock::now();
  while (base::MonotonicClock::now() - idleSince < kIdleTime) {
    co_await net::Sleep(kDrainPollInterval);
    if (mMessageServer.InFlight() > 0 ||
        mMessageServer.ReceivedCount() != received) {
      received = mMessageServer.ReceivedCount();
      idleSince = base::MonotonicClock::now();
    }
  }
}

auto Entry::DrainRecords() -> net::Task<void>
{
  constexpr auto kTimeout = base::Milliseconds(10000);
  const auto until = base::MonotonicClock::now() + kTimeout;
  while (mIdempotency->PendingRecordCount() > 0 &&
         base::MonotonicClock::now() < until) {
    co_await net::Sleep(kDrainPollInterval);
  }
}

auto Entry::HandleRequest(net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>
{
  if (aRequest.mTarget.starts_with("/services/")) {
    co_return co_await routing::HandleServiceRequest(
      *mRouter, *mNotes, *mIdempotency, std::move(aRequest));
  }
  auto context = OperatorContext{ mMetrics, *mMembership, *mOwnership, *mNotes,
                                  *mJobs,   *mAudit,      mIsStopping };
  // The modules that serve operators run on thread 0.
  co_return co_await asio::co_spawn(
    mPool.Executor(0),
    HandleOperatorRequest(context, std::move(aRequest)),
    asio::use_awaitable);
}

} // namespace eelgrasspost::app

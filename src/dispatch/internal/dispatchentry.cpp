#include "dispatchentry.h"

#include <algorithm>
#include <csignal>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/dispatch/dispatchlogevents.h"
#include "holdertimes.h"

namespace eelgrasspost::dispatch {

namespace {

/** How long the store may delay the reply to a feed call until a change. */
constexpr auto kFeedTimeout = Milliseconds(2000);
constexpr auto kWorkerFeedInterval = Milliseconds(250);
/** After a stop signal the load balancer may still open connections until two
 * more probes, one per second, have failed. */
constexpr auto kLoadBalancerDrainTime = Milliseconds(2600);
/** Log lines are buffered for this time and written together. */
constexpr auto kLogInterval = Milliseconds(100);
constexpr auto kConnectionCheckInterval = Milliseconds(50);

auto HttpOptions() -> net::HttpServerOptions
{
  net::HttpServerOptions out;
  out.mBodyLimit = 262144;
  return out;
}

} // namespace

DispatchEntry::DispatchEntry(net::IoPool& aPool,
                             DispatchSettings aSettings,
                             PlatformInterfaces aPlatform)
  : mPool(aPool)
  , mSettings(std::move(aSettings))
  , mPlatform(aPlatform)
  , mStartedAt(base::MonotonicClock::now())
  , mLog(mSettings.mName)
  , mMessages(aPool.Size(), mSettings.mPeers.mIp)
  , mMessageServer(aPool)
  , mPeers(aPool, mSettings.mName, mSettings.mDomain, mMetrics, mLog)
  , mStore(mPlatform.mStore, mMessages, mPeers, mMetrics, mLog)
  , mConfigurationWatch(aPool,
                        mStore,
                        mPlatform.mFormats.ConfigurationTable(),
                        kFeedTimeout,
                        Milliseconds(0))
  , mControlWatch(aPool,
                  mStore,
                  std::string(kControlTable),
                  kFeedTimeout,
                  Milliseconds(0))
  , mWorkerWatch(aPool,
                 mStore,
                 mPlatform.mFormats.WorkerTable(),
                 kWorkerFeedWait,
                 kWorkerFeedInterval)
  , mCallerHandler(
      { mPlatform.mFormats,
        mStore,
        mMetrics,
        mLog,
        [this] { return mPartitions; },
        mSettings.mDomain,
        [this] { return mConfiguration; },
        [this] { return ReachableCells(); },
        [this](JobCommand aCommand) { return Execute(std::move(aCommand)); },
        [this](const std::string& aQueue) { return CountPending(aQueue); },
        mSettings.mSettleMs,
        mSettings.mHasAdmission,
        mSettings.mHasOverflow,
        mSettings.mStoreRowBytes })
  , mHttpServer(aPool,
                HttpOptions(),
                [this](net::HttpRequest aRequest) {
                  return mCallerHandler.HandleRequest(std::move(aRequest));
                })
  , mReadinessServer(
      aPool,
      {},
      [this](net::HttpRequest) -> net::Task<net::HttpResponse> {
        constexpr unsigned kOk = 200;
        constexpr unsigned kUnavailable = 503;
        co_return net::HttpResponse{ IsReady() ? kOk : kUnavailable, {}, {} };
      })
  , mMetricsServer(
      aPool,
      {},
      [this](net::HttpRequest aRequest) -> net::Task<net::HttpResponse> {
        co_return net::HttpResponse{ 200,
                                     {},
                                     aRequest.mTarget == "/evacuations"
                                       ? RenderEvacuations()
                                       : mMetrics.Render() };
      })
  , mSignals(aPool.Executor(0), SIGTERM, SIGINT, SIGHUP)
  , mWorkersChangedAt(mStartedAt)
{
}

auto DispatchEntry::Start() -> absl::Status
{
  mMessages.SetOnSilentConnection(
    [this](const net::SilentConnection& aConnection) {
      mMetrics.FindCounter("connections_given_up_total").Add();
      mLog.Record(kConnectionGivenUp,
                  { { "address", net::ToString(aConnection.mAddress) },
                    { "age_ms", aConnection.mAge.count() },
                    { "silence_ms", aConnection.mSilence.count() } });
    });
  net::RegisterTypedHandler<JobCommand, JobReply>(
    mMessageServer, net::MessageKind::JobCommand, [this](JobCommand aCommand) {
      return ExecuteLocally(std::move(aCommand));
    });
  net::RegisterTypedHandler<StoreRelay, StoreReply>(
    mMessageServer, net::MessageKind::StoreRelay, [this](StoreRelay aRelay) {
      return mStore.Serve(std::move(aRelay));
    });
  for (const auto& status :
       { mMessageServer.Listen(mSettings.mPeers).status(),
         mPeers
           .Bind(mSettings.mPeers,
                 [this](const Heartbeat& aHeartbeat) {
                   HandleHeartbeat(aHeartbeat);
                 })
           .status(),
         mHttpServer.Listen(mSettings.mHttp).status(),
         mReadinessServer.Listen(mSettings.mReadiness).status(),
         mMetricsServer.Listen(mSettings.mMetrics).status() }) {
    if (!status.ok()) {
      return status;
    }
  }
  const auto executor = mPool.Executor(0);
  net::SpawnTask(executor, HandleSignals());
  net::SpawnTask(executor, WatchConfiguration());
  net::SpawnTask(executor, WatchControl());
  net::SpawnTask(executor, WatchWorkers());
  net::SpawnTask(executor, RegisterEntry());
  net::SpawnTask(executor, mPeers.Run([this] {
    auto out = MakeHeartbeat();
    // The counts stay known if another entry takes a cell over.
    RecordPending(mPendingCounts, out);
    return out;
  }));
  net::SpawnTask(executor, ManageCells());
  net::SpawnTask(executor, FlushLog());
  mLog.Record(kEntryStarted,
              { { "domain", mSettings.mDomain },
                { "http", net::ToString(mSettings.mHttp) },
                { "peers", net::ToString(mSettings.mPeers) },
                { "store", net::ToString(mSettings.mStore) },
                { "lease_ms", mSettings.mLeaseMs } });
  return absl::OkStatus();
}

auto DispatchEntry::Run() -> void
{
  mPool.Run();
}

auto DispatchEntry::FlushLog() -> net::Task<void>
{
  while (true) {
    mLog.Flush();
    co_await net::Sleep(kLogInterval);
  }
}

auto DispatchEntry::HandleSignals() -> net::Task<void>
{
  while (true) {
    const auto number =
      co_await mSignals.async_wait(boost::asio::use_awaitable);
    mLog.Record(number == SIGHUP ? kReloadRequested : kStopRequested,
                { { "signal", static_cast<std::int64_t>(number) } });
    if (number != SIGHUP && !mIsLeaving) {
      net::SpawnTask(mPool.Executor(0), Leave());
    }
  }
}

/** Releases the cells, serves remaining requests, then stops the process. */
auto DispatchEntry::Leave() -> net::Task<void>
{
  mIsLeaving = true;
  const auto startedAt = base::MonotonicClock::now();
  ReleaseAllCells();
  co_await net::Sleep(kLoadBalancerDrainTime);
  mHttpServer.StopAccepting();
  const auto last = startedAt + Milliseconds(mSettings.mGracePeriodMs) * 4 / 5;
  while (base::MonotonicClock::now() < last) {
    mHttpServer.CloseIdleConnections();
    if (mHttpServer.Connections() == 0 &&
        !mCallerHandler.HasPendingCancellations()) {
      break;
    }
    co_await net::Sleep(kConnectionCheckInterval);
  }
  mLog.Flush();
  mPool.Stop();
}

auto MakeDispatchEntry(net::IoPool& aPool,
                       DispatchSettings aSettings,
                       PlatformInterfaces aPlatform)
  -> std::unique_ptr<IDispatchEntry>
{
  return std::make_unique<DispatchEntry>(
    aPool, std::move(aSettings), aPlatform);
}

} // namespace eelgrasspost::dispatch

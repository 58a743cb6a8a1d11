#include <algorithm>

#include <boost/asio/this_coro.hpp>

#include "callerhandler.h"
#include "callerresponses.h"
#include "eelgrasspost/dispatch/dispatchlogevents.h"
#include "eelgrasspost/net/codec.h"
#include "eelgrasspost/net/iopool.h"
#include "storeaccess.h"

namespace eelgrasspost::dispatch {

namespace {

/** Maximum number of cancellations that are completed without a caller. */
constexpr std::size_t kMaxPendingCancellations = 5000;
/** Interval between the attempts to complete one of them, and its upper bound,
 * which keeps their calls few while the store does not respond. */
constexpr auto kCancellationInterval = Milliseconds(100);
constexpr auto kMaxCancellationInterval = Milliseconds(1000);
constexpr auto kCancellationTimeout = Milliseconds(3000);

} // namespace

auto CallerHandler::Cancel(std::string aId, MonotonicTime aDeadline)
  -> net::Task<CallerResponse>
{
  auto out = co_await TryCancel(aId, aDeadline, kHolderRetryInterval);
  // The caller may not ask again.
  const auto mustContinue =
    out.mOutcome == CallerOutcome::Uncertain &&
    mPendingCancellations.size() < kMaxPendingCancellations &&
    mPendingCancellations.insert(aId).second;
  if (mustContinue) {
    mDeferredCancellations.Add();
    net::SpawnTask(co_await net::asio::this_coro::executor,
                   CompleteCancellation(std::move(aId)));
  }
  co_return out;
}

auto CallerHandler::CompleteCancellation(std::string aId) -> net::Task<void>
{
  const auto startedAt = base::MonotonicClock::now();
  auto interval = kCancellationInterval;
  std::int64_t attempts = 0;
  CallerResponse response;
  do {
    co_await net::Sleep(interval);
    interval = std::min(2 * interval, kMaxCancellationInterval);
    ++attempts;
    // The row tells whether the job is in another cell by now.
    mCellByJob.erase(aId);
    response =
      co_await TryCancel(aId,
                         base::MonotonicClock::now() + kCancellationTimeout,
                         kCancellationTimeout);
  } while (response.mOutcome == CallerOutcome::Uncertain);
  mPendingCancellations.erase(aId);
  const auto took = std::chrono::duration_cast<Milliseconds>(
    base::MonotonicClock::now() - startedAt);
  mContext.mLog.Record(
    kCancellationCompleted,
    { { "job", aId },
      { "outcome", base::NameOf(kCallerOutcomeNames, response.mOutcome) },
      { "attempts", attempts },
      { "took_ms", took.count() } });
}

auto CallerHandler::TryCancel(std::string aId,
                              MonotonicTime aDeadline,
                              Milliseconds aRetryInterval)
  -> net::Task<CallerResponse>
{
  auto location = co_await Locate(aId, aDeadline);
  CallerResponse out;
  while (location.mIsCertain && !cell::IsFinal(location.mState)) {
    const auto isDone =
      location.mExists
        ? co_await CancelInCell(aId, location, aDeadline)
        : co_await PreventSubmission(aId, location.mIdVersion, aDeadline);
    if (isDone) {
      out.mOutcome =
        location.mExists ? CallerOutcome::Cancelled : CallerOutcome::UnknownJob;
      co_return out;
    }
    if (base::MonotonicClock::now() + aRetryInterval > aDeadline) {
      co_return MakeUncertainResponse();
    }
    co_await net::Sleep(aRetryInterval);
    location = co_await ReadIdRow(aId, aDeadline);
  }
  if (!location.mIsCertain) {
    co_return MakeUncertainResponse();
  }
  out.mOutcome = WasPrevented(location) ? CallerOutcome::UnknownJob
                                        : CallerOutcome::Cancelled;
  co_return out;
}

auto CallerHandler::CancelInCell(std::string aId,
                                 Location aLocation,
                                 MonotonicTime aDeadline) -> net::Task<bool>
{
  JobCommand command;
  command.mKind = JobCommandKind::Cancel;
  command.mCell = aLocation.mCell;
  command.mJobId = std::move(aId);
  command.mTimeoutMs = RemainingTimeoutMs(aDeadline);
  const auto reply = co_await mContext.mExecute(std::move(command));
  co_return reply.mOutcome == JobOutcome::Done;
}

auto CallerHandler::PreventSubmission(std::string aId,
                                      std::uint64_t aIdVersion,
                                      MonotonicTime aDeadline)
  -> net::Task<bool>
{
  const auto key = RowKey{ std::string(kIdTable), aId };
  StoreTransaction transaction;
  transaction.mPartition = PartitionOf(aId);
  transaction.mExpected = { { key, aIdVersion } };
  transaction.mWrites = { { key,
                            net::Encode(JobIdRow{ {},
                                                  cell::JobState::Cancelled,
                                                  base::WallClockMs() }) } };
  const auto storeDeadline = base::MonotonicClock::now() + kStoreTimeout;
  const auto reply = co_await mContext.mStore.Commit(
    std::move(transaction), std::min(storeDeadline, aDeadline));
  co_return reply.mOutcome == StoreOutcome::Done;
}

} // namespace eelgrasspost::dispatch

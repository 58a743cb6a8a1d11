#include <algorithm>

#include "callerhandler.h"
#include "callerresponses.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/cell/load.h"
#include "eelgrasspost/dispatch/dispatchlogevents.h"
#include "eelgrasspost/net/codec.h"
#include "eelgrasspost/net/iopool.h"
#include "overflow.h"
#include "storeaccess.h"

namespace eelgrasspost::dispatch {

namespace {

/** An evacuation lasts for longer than a fault. */
constexpr auto kEvacuationRetryAfter = Milliseconds(5000);
/** A planned release of a cell and its claim by the next holder take at most
 * this long; waiting for them is faster than the caller's retry. */
constexpr auto kCellReleaseTimeout = Milliseconds(400);
/** With less time left than this, the retry is left to the caller. */
constexpr std::int64_t kMinRetryBudgetMs = 250;
constexpr auto kSettleRetryInterval = Milliseconds(40);
/** Encoded size of the position of a task that another cell hosts. */
constexpr std::int64_t kHostedTaskBytes = 12;
/** At most half of the time until a caller's deadline is left for settling. */
constexpr std::int64_t kSettleDivisor = 2;

} // namespace

/** A job on its way into a cell. */
struct CallerHandler::Submission
{
  JobCommand mCommand;
  MonotonicTime mDeadline;
  /** Time before the deadline in which no cell is asked any more. */
  std::int64_t mSettleMs = 0;
  /** An offer got no reply, so that the job may be accepted. */
  bool mIsOutcomeUnknown = false;
  /** The store refused to take the job. */
  bool mIsRefused = false;
  /** Admission has decided for it. */
  bool mIsAdmitted = false;

  auto OfferTimeMs() const -> std::int64_t
  {
    return std::max<std::int64_t>(0, RemainingTimeoutMs(mDeadline) - mSettleMs);
  }
};

auto CallerHandler::Accept(const std::string& aId, const std::string& aCell)
  -> CallerResponse
{
  CacheLocation(aId, aCell);
  mAccepted.Add();
  return MakeAcceptedResponse();
}

auto CallerHandler::RefuseAsCancelled() -> CallerResponse
{
  mRefused.Add();
  auto out = MakeNotRunResponse("the job was cancelled before");
  // It is refused again at any time.
  out.mRetryAfter = {};
  return out;
}

auto CallerHandler::PlanOffersOf(const cell::StoredJob& aJob,
                                 const std::vector<CellStatus>& aCells) const
  -> std::vector<Offer>
{
  const auto& spec = aJob.mSpec;
  if (!mContext.mHasOverflow || !cell::IsSubjectToAdmission(spec)) {
    return PlanOffers(aCells, spec, mContext.mDomain);
  }
  return PlanOffersByWait(
    aCells, spec, cell::DemandOf(spec, aJob.mQueue), mContext.mDomain);
}

auto CallerHandler::OfferToCells(Submission& aSubmission,
                                 const std::vector<CellStatus>& aCells)
  -> net::Task<std::optional<CallerResponse>>
{
  auto& command = aSubmission.mCommand;
  aSubmission.mIsRefused = false;
  auto isDeclinedByAll = true;
  for (const auto& it : PlanOffersOf(command.mJob, aCells)) {
    command.mCell = it.mCell;
    command.mMustStartAtOnce = it.mMustStartAtOnce;
    command.mTimeoutMs = aSubmission.OfferTimeMs();
    auto reply = co_await mContext.mExecute(command);
    if (reply.mOutcome == JobOutcome::Withheld) {
      if (aSubmission.OfferTimeMs() <= kMinRetryBudgetMs) {
        // A later request for the same job may have withheld it just now, and
        // its caller has been told that the job does not run.
        co_return std::nullopt;
      }
      // An earlier request for the same job was told that it has not run.
      command.mIdVersion = reply.mIdVersion;
      command.mTimeoutMs = aSubmission.OfferTimeMs();
      reply = co_await mContext.mExecute(command);
    }
    if (reply.mOutcome == JobOutcome::Declined) {
      mDeclinedOffers.Add();
      continue;
    }
    isDeclinedByAll = false;
    if (reply.mOutcome == JobOutcome::Done) {
      co_return reply.mCell.empty() ? RefuseAsCancelled()
                                    : Accept(command.mJobId, reply.mCell);
    }
    const auto isUnknown = reply.mOutcome == JobOutcome::Uncertain;
    aSubmission.mIsOutcomeUnknown = aSubmission.mIsOutcomeUnknown || isUnknown;
    aSubmission.mIsRefused =
      reply.mOutcome == JobOutcome::Refused && !aSubmission.mIsOutcomeUnknown;
    if (aSubmission.mIsRefused || isUnknown) {
      break;
    }
  }
  if (isDeclinedByAll && command.mMustBeAbleToRun) {
    // Suitable workers may join later; the job then migrates to their cell.
    command.mMustBeAbleToRun = false;
    co_return co_await OfferToCells(aSubmission, aCells);
  }
  co_return std::nullopt;
}

/** A job that no row of the store can hold is never accepted. */
auto CallerHandler::CheckSize(const cell::Queue& aQueue,
                              const cell::JobSpec& aSpec) const
  -> std::optional<CallerResponse>
{
  const auto bytes =
    static_cast<std::int64_t>(
      net::Encode(cell::StoredJob{ aSpec, aQueue, 0, {} }).size()) +
    kHostedTaskBytes;
  if (bytes <= mContext.mStoreRowBytes) {
    return std::nullopt;
  }
  CallerResponse out;
  out.mOutcome = CallerOutcome::BadRequest;
  out.mError = base::Cat("the job takes ",
                         bytes,
                         " bytes in the store, which holds at most ",
                         mContext.mStoreRowBytes,
                         "; give it fewer steps or a shorter spec, or split "
                         "it");
  return out;
}

auto CallerHandler::Submit(const CallerRequest& aRequest,
                           const std::string& aBody,
                           MonotonicTime aDeadline) -> net::Task<CallerResponse>
{
  auto spec = mContext.mFormats.DecodeJob(aRequest.mJobId, aBody);
  if (!spec.ok()) {
    CallerResponse out;
    out.mOutcome = CallerOutcome::BadRequest;
    out.mError = std::string(base::MessageOf(spec.status()));
    co_return out;
  }
  if (auto refusal = CheckSize(*aRequest.mQueue, *spec)) {
    co_return *std::move(refusal);
  }
  Submission submission;
  submission.mDeadline = aDeadline;
  submission.mSettleMs = std::min(
    mContext.mSettleMs, RemainingTimeoutMs(aDeadline) / kSettleDivisor);
  auto& command = submission.mCommand;
  command.mKind = JobCommandKind::Submit;
  command.mJobId = aRequest.mJobId;
  command.mJob.mQueue = *aRequest.mQueue;
  command.mJob.mSpec = *std::move(spec);
  command.mJob.mAcceptedMs = base::WallClockMs();
  command.mMustBeAbleToRun = true;
  const auto startedAt = base::MonotonicClock::now();
  while (true) {
    const auto cells = mContext.mCells();
    if (AreAllClosed(cells) && !submission.mIsOutcomeUnknown) {
      co_return co_await RefuseWhileEvacuated(aRequest.mJobId, aDeadline);
    }
    if (auto response = co_await DecideOnAdmission(submission, cells)) {
      co_return *std::move(response);
    }
    submission.mIsAdmitted = true;
    if (auto response = co_await OfferToCells(submission, cells)) {
      co_return *std::move(response);
    }
    if (submission.mIsOutcomeUnknown) {
      // A retry with the same id finds the same rows and resolves the outcome.
      if (submission.OfferTimeMs() > kMinRetryBudgetMs) {
        co_await net::Sleep(kHolderRetryInterval);
        continue;
      }
      if (auto response = co_await SettleOutcome(submission)) {
        co_return *std::move(response);
      }
    }
    if (!submission.mIsRefused &&
        base::MonotonicClock::now() - startedAt < kCellReleaseTimeout &&
        submission.OfferTimeMs() > kCellReleaseTimeout.count()) {
      co_await net::Sleep(kHolderRetryInterval);
      continue;
    }
    mRefused.Add();
    co_return MakeNotRunResponse("no cell can take the job now; retry later");
  }
}

auto CallerHandler::SettleOutcome(Submission& aSubmission)
  -> net::Task<std::optional<CallerResponse>>
{
  if (aSubmission.mSettleMs == 0) {
    mUncertain.Add();
    co_return MakeUncertainResponse();
  }
  auto& command = aSubmission.mCommand;
  const auto location = co_await WithholdJob(
    command.mJobId, command.mIdVersion, aSubmission.mDeadline);
  mContext.mLog.Record(
    kSubmissionSettled,
    { { "job", command.mJobId },
      { "cell", command.mCell },
      { "is_settled", static_cast<std::int64_t>(location.mIsCertain ? 1 : 0) },
      { "is_accepted", static_cast<std::int64_t>(location.mExists ? 1 : 0) },
      { "owner", location.mCell } });
  if (!location.mIsCertain) {
    mUncertain.Add();
    co_return MakeUncertainResponse();
  }
  mSettled.Add();
  if (location.mExists) {
    co_return WasPrevented(location) ? RefuseAsCancelled()
                                     : Accept(command.mJobId, location.mCell);
  }
  command.mIdVersion = location.mIdVersion;
  aSubmission.mIsOutcomeUnknown = false;
  co_return std::nullopt;
}

auto CallerHandler::WithholdJob(std::string aId,
                                std::uint64_t aIdVersion,
                                MonotonicTime aDeadline) -> net::Task<Location>
{
  const auto key = RowKey{ std::string(kIdTable), aId };
  Location out;
  out.mIdVersion = aIdVersion;
  while (RemainingTimeoutMs(aDeadline) > 0) {
    StoreTransaction transaction;
    transaction.mPartition = PartitionOf(aId);
    transaction.mExpected = { { key, out.mIdVersion } };
    transaction.mWrites = { { key,
                              net::Encode(JobIdRow{ {},
                                                    cell::JobState::Queued,
                                                    base::WallClockMs() }) } };
    const auto storeDeadline = base::MonotonicClock::now() + kStoreTimeout;
    const auto reply = co_await mContext.mStore.Commit(
      std::move(transaction), std::min(storeDeadline, aDeadline));
    if (reply.mOutcome == StoreOutcome::Done) {
      out.mIsCertain = true;
      out.mIdVersion = reply.mVersion;
      co_return out;
    }
    // The row, or a newer one of another entry, decides.
    const auto row = co_await ReadIdRow(aId, aDeadline);
    if (row.mIsCertain && row.mExists) {
      co_return row;
    }
    if (row.mIsCertain) {
      out.mIdVersion = row.mIdVersion;
    }
    co_await net::Sleep(kSettleRetryInterval);
  }
  co_return out;
}

auto CallerHandler::Refuse(std::string aId,
                           MonotonicTime aDeadline,
                           CallerResponse aRefusal) -> net::Task<CallerResponse>
{
  const auto location = co_await Locate(aId, aDeadline);
  if (location.mExists) {
    co_return WasPrevented(location) ? RefuseAsCancelled()
                                     : Accept(aId, location.mCell);
  }
  if (!location.mIsCertain) {
    mUncertain.Add();
    co_return MakeUncertainResponse();
  }
  (aRefusal.mOutcome == CallerOutcome::Overloaded ? mOverloaded : mRefused)
    .Add();
  co_return aRefusal;
}

auto CallerHandler::RefuseWhileEvacuated(std::string aId,
                                         MonotonicTime aDeadline)
  -> net::Task<CallerResponse>
{
  auto out = MakeNotRunResponse(
    "all failure domains that can be reached are being evacuated; retry later");
  out.mRetryAfter = kEvacuationRetryAfter;
  co_return co_await Refuse(std::move(aId), aDeadline, std::move(out));
}

auto CallerHandler::DecideOnAdmission(const Submission& aSubmission,
                                      const std::vector<CellStatus>& aCells)
  -> net::Task<std::optional<CallerResponse>>
{
  const auto& command = aSubmission.mCommand;
  const auto& job = command.mJob;
  if (!mContext.mHasAdmission || aSubmission.mIsOutcomeUnknown ||
      aSubmission.mIsAdmitted || !cell::IsSubjectToAdmission(job.mSpec)) {
    co_return std::nullopt;
  }
  std::vector<admission::KnownLoad> loads;
  loads.reserve(aCells.size());
  for (const auto& it : aCells) {
    if (!it.mIsClosed) {
      loads.push_back({ it.mLoad, it.mAge, it.mIsActive });
    }
  }
  const auto demand = cell::DemandOf(job.mSpec, job.mQueue);
  const auto key = admission::ShareKey{ job.mQueue.mName,
                                        mContext.mDomain,
                                        admission::SizeClassOf(demand.mCpuMs) };
  const auto decision = admission::Decide(
    loads, demand, key, command.mJobId, mShares, base::MonotonicClock::now());
  mExpectedWait.Record(static_cast<double>(
    std::chrono::duration_cast<base::Microseconds>(decision.mWait).count()));
  if (decision.mVerdict == admission::Verdict::Accept) {
    co_return std::nullopt;
  }
  mContext.mLog.Record(
    kJobNotAdmitted,
    { { "job", command.mJobId },
      { "queue", job.mQueue.mName },
      { "size_class", static_cast<std::int64_t>(key.mSizeClass) },
      { "room", base::NameOf(admission::kRoomKindNames, demand.mKind) },
      { "expected_wait_ms", decision.mWait.count() },
      { "max_wait_ms", decision.mMaxWait.count() },
      { "expected_late_wait_ms", decision.mLateWait.count() },
      { "max_late_wait_ms", decision.mMaxLateWait.count() },
      { "retry_after_ms", decision.mRetryAfter.count() } });
  CallerResponse out;
  out.mOutcome = CallerOutcome::Overloaded;
  out.mRetryAfter = decision.mRetryAfter;
  out.mError = "no cell could do the job in time; retry later";
  co_return co_await Refuse(
    command.mJobId, aSubmission.mDeadline, std::move(out));
}

} // namespace eelgrasspost::dispatch

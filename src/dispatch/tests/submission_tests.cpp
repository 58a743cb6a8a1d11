#define BOOST_TEST_MODULE dispatch_submission
#include <boost/test/unit_test.hpp>

#include "cancellationfixture.h"
#include "eelgrasspost/base/text.h"

namespace eelgrasspost::dispatch::testing {

namespace {

constexpr std::int64_t kSettleMs = 500;
constexpr auto kCallerTimeout = Milliseconds(1200);

/** An entry whose submissions get no reply from the holder of the cell. */
struct LostReplyFixture : CallersAndCells
{
  /** Submissions that have not reached the holder. */
  std::vector<JobCommand> mUndelivered;

  explicit LostReplyFixture(std::int64_t aSettleMs = kSettleMs,
                            bool aHasAdmission = false)
    : CallersAndCells(aSettleMs, aHasAdmission)
  {
  }

  auto LoseSubmissions() -> void
  {
    Do([&] {
      mExecute = [this](JobCommand aCommand) -> net::Task<JobReply> {
        mUndelivered.push_back(std::move(aCommand));
        co_return JobReply{ JobOutcome::Uncertain };
      };
    });
  }

  auto LoseReplies() -> void
  {
    Do([&] {
      mExecute = [this](JobCommand aCommand) -> net::Task<JobReply> {
        co_await ExecuteInCell(std::move(aCommand));
        co_return JobReply{ JobOutcome::Uncertain };
      };
    });
  }

  auto Deliver() -> void
  {
    Do([&] {
      mExecute = [this](JobCommand aCommand) {
        return ExecuteInCell(std::move(aCommand));
      };
    });
  }

  auto Submit() -> CallerOutcome { return Request("POST", kCallerTimeout); }
};

struct UnsettledFixture : LostReplyFixture
{
  UnsettledFixture()
    : LostReplyFixture(0)
  {
  }
};

/** Callers wait for less time than the entry would like to keep for settling.
 */
struct LongSettlingFixture : LostReplyFixture
{
  LongSettlingFixture()
    : LostReplyFixture(4 * kCallerTimeout.count())
  {
  }
};

/** An entry with admission whose cells have work for a minute before any new
 * job. */
struct OverloadFixture : LostReplyFixture
{
  OverloadFixture()
    : LostReplyFixture(kSettleMs, true)
  {
    auto& step = mFormats.mSpec.mSteps[0];
    step.mEstimatedMs = 1000;
    step.mNeed.mCpuMillis = 1000;
    mFormats.mQueue.mStretch = 2;
  }

  auto Overload() -> void
  {
    constexpr double kCores = 16;
    constexpr double kMinuteMs = 60000;
    Do([&] {
      mLoad.mReserved = { kCores, kCores };
      mLoad.mBacklogs = {
        { admission::RoomKind::Reserved, 0, 0, kCores * kMinuteMs, 0 }
      };
    });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(lost_reply, LostReplyFixture)

BOOST_AUTO_TEST_CASE(submission_not_received_is_refused_in_time_as_not_run)
{
  LoseSubmissions();
  const auto start = base::MonotonicClock::now();
  BOOST_CHECK(Submit() == CallerOutcome::NotRun);
  BOOST_CHECK(base::MonotonicClock::now() - start < kCallerTimeout);
  BOOST_CHECK_EQUAL(CountRows(kJobTable), 0);
}

// Guards against a job that is refused for now although the store can never
// hold it, so that its caller comes back for ever.
BOOST_AUTO_TEST_CASE(job_that_no_row_of_the_store_holds_is_a_bad_request)
{
  Do([&] {
    auto& steps = mFormats.mSpec.mSteps;
    steps.resize(1000, steps[0]);
  });
  BOOST_CHECK(Submit() == CallerOutcome::BadRequest);
  BOOST_CHECK_EQUAL(mStore.mRejected, 0U);
  Do([&] { mFormats.mSpec.mSteps.resize(100); });
  BOOST_CHECK(Submit() == CallerOutcome::Accepted);
}

BOOST_AUTO_TEST_CASE(submission_received_after_refusal_is_not_accepted)
{
  LoseSubmissions();
  BOOST_REQUIRE(Submit() == CallerOutcome::NotRun);
  BOOST_REQUIRE(!mUndelivered.empty());
  for (auto& it : mUndelivered) {
    const auto reply = Wait(ExecuteInCell(std::move(it)));
    BOOST_CHECK(reply.mOutcome == JobOutcome::Withheld);
  }
  BOOST_CHECK_EQUAL(CountRows(kJobTable), 0);
  BOOST_CHECK_EQUAL(mWorkers.CountStarts(mTask), 0);
}

BOOST_AUTO_TEST_CASE(refused_job_submitted_again_is_accepted_and_runs_once)
{
  LoseSubmissions();
  BOOST_REQUIRE(Submit() == CallerOutcome::NotRun);
  Deliver();
  SubmitAndStart();
  for (auto& it : mUndelivered) {
    Wait(ExecuteInCell(std::move(it)));
  }
  BOOST_CHECK_EQUAL(CountRows(kJobTable), 1);
  BOOST_CHECK_EQUAL(mWorkers.CountStarts(mTask), 1);
}

BOOST_AUTO_TEST_CASE(submission_accepted_without_reply_is_confirmed)
{
  LoseReplies();
  BOOST_CHECK(Submit() == CallerOutcome::Accepted);
  BOOST_CHECK_EQUAL(CountRows(kJobTable), 1);
}

BOOST_AUTO_TEST_CASE(store_unavailable_outcome_stays_uncertain)
{
  LoseSubmissions();
  Do([&] { mStore.mIsUnavailable = true; });
  BOOST_CHECK(Submit() == CallerOutcome::Uncertain);
  Do([&] { mStore.mIsUnavailable = false; });
}

BOOST_AUTO_TEST_CASE(reply_to_settling_write_lost_is_settled_again)
{
  LoseSubmissions();
  Do([&] { mStore.mFaults.push_back(FakeFault::LoseReply); });
  BOOST_CHECK(Submit() == CallerOutcome::NotRun);
  BOOST_CHECK_EQUAL(CountRows(kJobTable), 0);
}

BOOST_AUTO_TEST_CASE(writes_executed_late_leave_the_outcome_that_was_told)
{
  constexpr std::size_t kMaxLateWrites = 7;
  std::set<CallerOutcome> seen;
  for (std::size_t n = 1; n <= kMaxLateWrites; ++n) {
    const auto id = base::Cat("00000000000000b", n);
    Do([&] { mStore.mFaults.assign(n, FakeFault::ApplyLate); });
    const auto outcome = Request("POST", kCallerTimeout, id);
    seen.insert(outcome);
    Do([&] { mStore.mFaults.clear(); });
    // The holder and the entry may go on for a while.
    Wait(net::Sleep(Milliseconds(500)), true);
    Do([&] { mStore.ApplyLateCalls(); });
    const auto state = Request("GET", kCallerTimeout, id);
    BOOST_TEST_CONTEXT("late writes " << n)
    {
      const auto isKnown = state == CallerOutcome::State;
      BOOST_CHECK(outcome != CallerOutcome::NotRun || !isKnown);
      BOOST_CHECK(outcome != CallerOutcome::Accepted || isKnown);
      BOOST_CHECK(mWorkers.CountStarts(id + ".0.0.0") <= (isKnown ? 1U : 0U));
    }
  }
  BOOST_CHECK(seen.contains(CallerOutcome::Accepted));
  BOOST_CHECK(seen.contains(CallerOutcome::NotRun));
}

BOOST_AUTO_TEST_CASE(refused_job_cancelled_is_unknown_and_stays_refused)
{
  LoseSubmissions();
  BOOST_REQUIRE(Submit() == CallerOutcome::NotRun);
  BOOST_CHECK(Request("GET", kCallerTimeout) == CallerOutcome::UnknownJob);
  BOOST_CHECK(Request("DELETE", kCallerTimeout) == CallerOutcome::UnknownJob);
  Deliver();
  BOOST_CHECK(Submit() == CallerOutcome::NotRun);
  BOOST_CHECK_EQUAL(CountRows(kJobTable), 0);
}

BOOST_AUTO_TEST_CASE(job_withheld_during_a_request_is_not_replaced_by_it)
{
  LoseSubmissions();
  BOOST_REQUIRE(Submit() == CallerOutcome::NotRun);
  // The row could as well have been written while this request waited.
  Do([&] {
    mExecute = [this](JobCommand aCommand) -> net::Task<JobReply> {
      co_await net::Sleep(kCallerTimeout - Milliseconds(kSettleMs));
      co_return co_await ExecuteInCell(std::move(aCommand));
    };
  });
  BOOST_CHECK(Submit() == CallerOutcome::NotRun);
  BOOST_CHECK_EQUAL(CountRows(kJobTable), 0);
}

BOOST_AUTO_TEST_CASE(withheld_job_is_offered_again_within_the_time_left)
{
  constexpr auto kReplyTime = Milliseconds(200);
  LoseSubmissions();
  BOOST_REQUIRE(Submit() == CallerOutcome::NotRun);
  std::vector<std::int64_t> timeouts;
  Do([&] {
    mExecute = [&](JobCommand aCommand) -> net::Task<JobReply> {
      timeouts.push_back(aCommand.mTimeoutMs);
      co_await net::Sleep(kReplyTime);
      co_return co_await ExecuteInCell(std::move(aCommand));
    };
  });
  BOOST_CHECK(Submit() == CallerOutcome::Accepted);
  BOOST_REQUIRE_EQUAL(timeouts.size(), 2);
  BOOST_CHECK_LE(timeouts[1], timeouts[0] - kReplyTime.count());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(long_settling, LongSettlingFixture)

BOOST_AUTO_TEST_CASE(impatient_caller_cells_have_half_of_its_time)
{
  std::vector<std::int64_t> timeouts;
  Do([&] {
    mExecute = [&](JobCommand aCommand) -> net::Task<JobReply> {
      timeouts.push_back(aCommand.mTimeoutMs);
      co_return co_await ExecuteInCell(std::move(aCommand));
    };
  });
  BOOST_CHECK(Submit() == CallerOutcome::Accepted);
  BOOST_REQUIRE_EQUAL(timeouts.size(), 1);
  constexpr std::int64_t kMinPart = 3;
  BOOST_CHECK_GE(timeouts[0], kCallerTimeout.count() / kMinPart);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(unsettled_reply, UnsettledFixture)

BOOST_AUTO_TEST_CASE(setting_absent_outcome_is_uncertain)
{
  LoseSubmissions();
  BOOST_CHECK(Submit() == CallerOutcome::Uncertain);
  BOOST_CHECK_EQUAL(CountRows(kIdTable), 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(overload, OverloadFixture)

BOOST_AUTO_TEST_CASE(job_that_cannot_be_done_in_time_is_refused_unstored)
{
  Overload();
  BOOST_CHECK(Submit() == CallerOutcome::Overloaded);
  BOOST_CHECK_EQUAL(CountRows(kIdTable), 0);
  BOOST_CHECK_EQUAL(CountRows(kJobTable), 0);
}

BOOST_AUTO_TEST_CASE(job_accepted_before_the_overload_stays_accepted)
{
  SubmitAndStart();
  Overload();
  BOOST_CHECK(Submit() == CallerOutcome::Accepted);
}

BOOST_AUTO_TEST_CASE(long_running_job_is_accepted_under_overload)
{
  Overload();
  Do([&] { mFormats.mSpec.mSteps[0].mIsLongRunning = true; });
  BOOST_CHECK(Submit() == CallerOutcome::Accepted);
}

BOOST_AUTO_TEST_CASE(refused_job_submitted_after_the_overload_is_accepted)
{
  Overload();
  BOOST_REQUIRE(Submit() == CallerOutcome::Overloaded);
  Do([&] { mLoad = {}; });
  BOOST_CHECK(Submit() == CallerOutcome::Accepted);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace eelgrasspost::dispatch::testing

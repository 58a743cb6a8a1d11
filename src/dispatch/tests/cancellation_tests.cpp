#define BOOST_TEST_MODULE dispatch_cancellation
#include <boost/test/unit_test.hpp>

#include "cancellationfixture.h"
#include "internal/claiming.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::CallersAndCells;
using dispatch::testing::FakeFault;

/** A caller that does not ask again after this time. */
constexpr auto kShortTimeout = Milliseconds(400);

auto IsAcknowledged(CallerOutcome aOutcome) -> bool
{
  return aOutcome == CallerOutcome::Cancelled ||
         aOutcome == CallerOutcome::UnknownJob;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cancellation)

// A cancellation during an outage of the store was forgotten; the job ran on.
BOOST_FIXTURE_TEST_CASE(
  cancellation_store_unavailable_takes_effect_after_the_outage,
  CallersAndCells)
{
  SubmitAndStart();
  Do([&] { mStore.mIsUnavailable = true; });
  BOOST_TEST(!IsAcknowledged(Request("DELETE", kShortTimeout)));
  // The holder has ended meanwhile, so that what it knew is lost.
  Do([&] {
    mFirst->End();
    mStore.mIsUnavailable = false;
    mFirst = MakeHolder(2);
    mCells["a/0"] = mFirst;
  });
  BOOST_TEST(IsCancelledWithinLimit());
  Do([&] { BOOST_TEST((IdState(kId) == cell::JobState::Cancelled)); });
}

// A cancellation was forgotten if the cell had no holder until the caller's
// timeout.
BOOST_FIXTURE_TEST_CASE(
  cancellation_cell_without_holder_takes_effect_after_the_takeover,
  CallersAndCells)
{
  SubmitAndStart();
  Do([&] {
    mFirst->End();
    mCells.erase("a/0");
  });
  BOOST_TEST(!IsAcknowledged(Request("DELETE", kShortTimeout)));
  Do([&] {
    mFirst = MakeHolder(2);
    mCells["a/0"] = mFirst;
  });
  BOOST_TEST(IsCancelledWithinLimit());
  Do([&] { BOOST_TEST((IdState(kId) == cell::JobState::Cancelled)); });
}

// A cancellation was acknowledged as the job had no row yet; the write of its
// submission was executed later, and the job ran.
BOOST_FIXTURE_TEST_CASE(cancellation_submission_in_progress_prevents_the_job,
                        CallersAndCells)
{
  Do([&] { mStore.mFaults = { FakeFault::ApplyLate, FakeFault::LoseCall }; });
  BOOST_TEST((Request("POST", Milliseconds(200)) == CallerOutcome::Uncertain));
  const auto outcome = Request("DELETE", Milliseconds(2000));
  Do([&] { mStore.ApplyLateCalls(); });
  BOOST_TEST(IsAcknowledged(outcome));
  BOOST_TEST(IsCancelledWithinLimit());
}

// The row that prevents a later submission must not show a job that nobody has
// submitted.
BOOST_FIXTURE_TEST_CASE(cancellation_unknown_job_is_not_shown, CallersAndCells)
{
  BOOST_TEST(
    (Request("DELETE", Milliseconds(2000)) == CallerOutcome::UnknownJob));
  BOOST_TEST((Request("GET", Milliseconds(2000)) == CallerOutcome::UnknownJob));
}

// A job whose import got no reply from the store for long was in no holder's
// memory; its cancellation had no effect, and the next holder ran it.
BOOST_FIXTURE_TEST_CASE(cancellation_job_not_loaded_by_its_cell_is_stored,
                        CallersAndCells)
{
  Do([&] {
    StoreTransaction transaction;
    const auto submission = MakeSubmission(kId);
    const auto partition =
      PartitionName(static_cast<std::uint32_t>(HashOf(kId) % kPartitions));
    transaction.mPartition = partition;
    transaction.mWrites = {
      { { std::string(kIdTable), kId },
        net::Encode(JobIdRow{ "a/0", cell::JobState::Queued, 1 }) },
      { { std::string(kJobTable), std::string("a/0/") + kId },
        net::Encode(submission.mJob) }
    };
    mStore.Apply(transaction);
  });
  BOOST_TEST(IsAcknowledged(Request("DELETE", Milliseconds(1000))));
  Do([&] {
    BOOST_TEST((IdState(kId) == cell::JobState::Cancelled));
    BOOST_TEST(CountRows(kJobTable) == 0U);
    BOOST_TEST(mWorkers.mStarts.empty());
  });
}

// A job that was being cancelled migrated to another cell; the write of its
// final state, repeated, found the job's row gone and counted as executed.
BOOST_FIXTURE_TEST_CASE(cancellation_job_about_to_migrate_stays_cancelled,
                        CallersAndCells)
{
  Do([&] {
    auto& step = mFormats.mSpec.mSteps[0];
    step.mIsLongRunning = true;
    step.mNeed.mCpuMillis = 10000;
    mFindEmptier = [](const std::string&, const cell::MigratableJob&) {
      return std::optional<std::string>("b/0");
    };
    mExecute = [this](JobCommand aCommand) -> net::Task<JobReply> {
      const auto isImport = aCommand.mKind == JobCommandKind::ImportJob;
      auto reply = co_await ExecuteInCell(std::move(aCommand));
      if (isImport) {
        reply.mOutcome = JobOutcome::Uncertain;
      }
      co_return reply;
    };
  });
  BOOST_REQUIRE(
    (Request("POST", Milliseconds(3000)) == CallerOutcome::Accepted));
  Do([&] {
    mStore.mFaults = { FakeFault::LoseCall };
    mStore.mDelays = { Milliseconds(300) };
  });
  BOOST_TEST(
    (Request("DELETE", Milliseconds(3000)) == CallerOutcome::Cancelled));
  BOOST_TEST(IsCancelledWithinLimit());
  Do([&] { BOOST_TEST((IdState(kId) == cell::JobState::Cancelled)); });
}

BOOST_AUTO_TEST_SUITE_END()

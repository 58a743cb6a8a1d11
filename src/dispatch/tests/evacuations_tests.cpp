#define BOOST_TEST_MODULE dispatch_evacuations
#include <boost/test/unit_test.hpp>

#include "cancellationfixture.h"
#include "entryfixture.h"
#include "internal/cellchoice.h"
#include "internal/evacuations.h"

namespace eelgrasspost::dispatch::testing {

namespace {

/** What an entry knows, and what its peers say. */
struct NoticesFixture
{
  Evacuations mKnown;

  auto InForce() const -> bool { return !DomainsInForce(mKnown).empty(); }
};

/** An entry that follows evacuations and holds cell "a/0" with a worker and a
 * job of two tasks. */
struct EvacuatedEntryFixture : EntryFixture
{
  EvacuatedEntryFixture()
  {
    mEvacuationMs = 5000;
    ListWorker(16000);
  }

  auto RequestEvacuation() -> void
  {
    Write("", "settings", "evacuate a", "{}");
  }

  auto WithdrawEvacuation() -> void
  {
    StoreTransaction transaction;
    transaction.mRemovals.push_back({ "settings", "evacuate a" });
    Wait(mStore.Commit(std::move(transaction), {}));
  }
};

/** Callers of an entry that knows only cells which are closed. */
struct ClosedCellsFixture : CallersAndCells
{
  auto CloseAll() -> void
  {
    Do([&] { mAreClosed = true; });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(evacuation_notices, NoticesFixture)

BOOST_AUTO_TEST_CASE(request_read_is_in_force)
{
  BOOST_CHECK(NoteRequest(mKnown, "a", 5));
  BOOST_CHECK(!NoteRequest(mKnown, "a", 5));
  BOOST_CHECK(InForce());
}

BOOST_AUTO_TEST_CASE(request_and_withdrawal_overlapping_newest_holds)
{
  NoteRequest(mKnown, "a", 5);
  BOOST_CHECK(NoteWithdrawal(mKnown, "a", 7));
  BOOST_CHECK(!InForce());
  // A reply that was sent before the withdrawal.
  BOOST_CHECK(!NoteRequest(mKnown, "a", 6));
  BOOST_CHECK(!InForce());
  BOOST_CHECK(NoteRequest(mKnown, "a", 9));
  BOOST_CHECK(InForce());
}

BOOST_AUTO_TEST_CASE(two_domains_one_withdrawn_other_stays_in_force)
{
  NoteRequest(mKnown, "a", 5);
  NoteRequest(mKnown, "b", 6);
  NoteWithdrawal(mKnown, "a", 8);
  BOOST_CHECK((DomainsInForce(mKnown) == cell::DomainSet{ "b" }));
}

BOOST_AUTO_TEST_CASE(request_of_peer_newer_than_own_view_is_adopted)
{
  BOOST_CHECK(AdoptNotices(mKnown, { { "a", 5, 0 } }, 3));
  BOOST_CHECK(InForce());
}

BOOST_AUTO_TEST_CASE(request_of_peer_withdrawn_before_own_read_is_not_adopted)
{
  BOOST_CHECK(!AdoptNotices(mKnown, { { "a", 5, 0 } }, 8));
  BOOST_CHECK(!InForce());
}

BOOST_AUTO_TEST_CASE(stale_notice_of_peer_does_not_undo_withdrawal)
{
  NoteRequest(mKnown, "a", 5);
  NoteWithdrawal(mKnown, "a", 7);
  BOOST_CHECK(!AdoptNotices(mKnown, { { "a", 5, 0 } }, 7));
  BOOST_CHECK(!InForce());
}

BOOST_AUTO_TEST_CASE(withdrawal_of_peer_ends_evacuation)
{
  NoteRequest(mKnown, "a", 5);
  BOOST_CHECK(AdoptNotices(mKnown, { { "a", 5, 9 } }, 6));
  BOOST_CHECK(!InForce());
}

BOOST_AUTO_TEST_CASE(request_known_from_peer_only_and_not_read_is_withdrawn)
{
  // The entry's own reads failed from before the request until after its
  // withdrawal, and the peer ended in between.
  BOOST_REQUIRE(AdoptNotices(mKnown, { { "a", 5, 0 }, { "b", 6, 0 } }, 3));
  BOOST_CHECK(NoteExisting(mKnown, { "b" }, 8));
  BOOST_CHECK((DomainsInForce(mKnown) == cell::DomainSet{ "b" }));
  BOOST_CHECK(!NoteExisting(mKnown, { "b" }, 9));
  BOOST_CHECK_EQUAL(mKnown.at("a").mWithdrawnAt, 8);
}

BOOST_AUTO_TEST_CASE(request_known_from_peer_newer_than_own_read_stays)
{
  BOOST_REQUIRE(AdoptNotices(mKnown, { { "a", 5, 0 } }, 3));
  BOOST_CHECK(!NoteExisting(mKnown, {}, 4));
  BOOST_CHECK(InForce());
}

BOOST_AUTO_TEST_CASE(closed_cell_gets_no_offers_and_no_migrations)
{
  CellStatus open;
  open.mName = "b/0";
  open.mIsActive = true;
  auto closed = open;
  closed.mName = "a/0";
  closed.mIsClosed = true;
  cell::JobSpec job;
  job.mSteps.resize(1);
  job.mSteps[0].mCount = 1;
  job.mSteps[0].mIsBestEffort = true;
  const auto offers = PlanOffers({ closed, open }, job, "a");
  BOOST_REQUIRE_EQUAL(offers.size(), 1);
  BOOST_CHECK_EQUAL(offers[0].mCell, "b/0");
  BOOST_CHECK(PlanOffers({ closed }, job, "a").empty());
  cell::MigratableJob migratable;
  migratable.mCanRunHere = false;
  BOOST_CHECK(!ChooseCellWithCapacity({ closed }, "b/0", migratable));
  BOOST_CHECK(!ChooseEmptierCell({ open, closed }, "b/0", migratable));
  BOOST_CHECK(AreAllClosed({ closed }));
  BOOST_CHECK(!AreAllClosed({ closed, open }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(entry_evacuation, EvacuatedEntryFixture)

BOOST_AUTO_TEST_CASE(request_before_entry_starts_holds_all_starts)
{
  RequestEvacuation();
  AddJob(2);
  StartEntry();
  Settle();
  BOOST_CHECK_EQUAL(CountStarts(), 0);
  WithdrawEvacuation();
  BOOST_CHECK(HasStarted(2));
}

BOOST_AUTO_TEST_CASE(request_during_runs_holds_further_starts)
{
  AddJob(3);
  StartEntry();
  BOOST_REQUIRE(HasStarted(2));
  RequestEvacuation();
  Settle();
  EndTask(0);
  Settle();
  BOOST_CHECK_EQUAL(CountStarts(), 2);
}

BOOST_AUTO_TEST_CASE(store_unavailable_at_takeover_nothing_starts_unread)
{
  RequestEvacuation();
  AddJob(2);
  Set(mStore.mRefusesFeeds, true);
  StartEntry("other");
  Settle();
  Set(mStore.mRefusesFeeds, false);
  Settle();
  BOOST_CHECK_EQUAL(CountStarts(), 0);
}

BOOST_AUTO_TEST_CASE(setting_absent_request_is_ignored)
{
  mEvacuationMs = 0;
  RequestEvacuation();
  AddJob(2);
  StartEntry();
  BOOST_CHECK(HasStarted(2));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(evacuated_callers, ClosedCellsFixture)

BOOST_AUTO_TEST_CASE(submission_all_cells_closed_is_refused_at_once_unstored)
{
  CloseAll();
  const auto start = base::MonotonicClock::now();
  BOOST_CHECK(Request("POST", Milliseconds(3000)) == CallerOutcome::NotRun);
  BOOST_CHECK(base::MonotonicClock::now() - start < Milliseconds(300));
  BOOST_CHECK_EQUAL(CountRows(kIdTable), 0);
  BOOST_CHECK_EQUAL(CountRows(kJobTable), 0);
}

BOOST_AUTO_TEST_CASE(submission_repeated_after_closing_stays_accepted)
{
  SubmitAndStart();
  CloseAll();
  BOOST_CHECK(Request("POST", Milliseconds(3000)) == CallerOutcome::Accepted);
  const auto& refused =
    mMetrics.FindCounter("submissions_total{outcome=\"refused\"}");
  BOOST_CHECK_EQUAL(refused.Value(), 0);
}

BOOST_AUTO_TEST_CASE(store_unavailable_all_cells_closed_is_not_told_as_not_run)
{
  // Its caller got no reply, and this entry knows nothing of the job.
  const auto reply = Wait(ExecuteInCell(MakeSubmission(kId)));
  BOOST_REQUIRE(reply.mOutcome == JobOutcome::Done);
  CloseAll();
  Do([&] { mStore.mIsUnavailable = true; });
  BOOST_CHECK(Request("POST", Milliseconds(1000)) == CallerOutcome::Uncertain);
  Do([&] { mStore.mIsUnavailable = false; });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace eelgrasspost::dispatch::testing

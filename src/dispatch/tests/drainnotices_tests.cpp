#define BOOST_TEST_MODULE dispatch_drainnotices
#include <set>

#include <boost/test/unit_test.hpp>

#include "holderfixture.h"
#include "internal/drainnotices.h"

namespace eelgrasspost::dispatch::testing {

namespace {

constexpr std::uint64_t kReadVersion = 10;
constexpr std::uint64_t kNewerVersion = 20;

/** An entry that knows worker w1 as of an older version than its peers. */
struct NoticesFixture
{
  DrainNotices mNotices;
  cell::WorkerRecord mKnown;
  MonotonicTime mNow = base::MonotonicClock::now();

  NoticesFixture()
  {
    mKnown.mId = "w1";
    mKnown.mIncarnationStartMs = 100;
  }

  auto Hear(std::uint64_t aVersion, std::int64_t aIncarnationStartMs = 100)
    -> bool
  {
    return HearNotice(
      mNotices, { "w1", aIncarnationStartMs, aVersion }, mKnown, kReadVersion);
  }

  /** The state of w1 after its row of a version was read as ready. */
  auto Read(std::uint64_t aVersion) -> cell::WorkerState
  {
    auto record = mKnown;
    ApplyHeard(mNotices, record, aVersion);
    return record.mState;
  }

  auto NoteWorkers(std::size_t aCount) -> void
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      auto record = mKnown;
      record.mId = std::to_string(i);
      NoteDraining(mNotices, record, kNewerVersion, mNow);
    }
  }
};

/** Sends notices from one entry to a holder that has read nothing since. Which
 * heartbeats arrive is given. */
struct LateReader : HolderFixture
{
  std::shared_ptr<CellHolder> mHolder = MakeHolder(1);
  DrainNotices mSender;
  DrainNotices mReceiver;

  LateReader()
  {
    BOOST_REQUIRE(Until([&] {
      const auto& workers = mHolder->State().mWorkers;
      return workers.contains("w1") && workers.at("w1")->mIsKnown;
    }));
  }

  ~LateReader()
  {
    Do([&] { mHolder->End(); });
    StopPool();
  }

  auto Deliver(const std::vector<DrainNotice>& aNotices) -> void
  {
    Do([&] {
      for (const auto& it : aNotices) {
        auto record = MakeRecord(it.mWorker);
        if (HearNotice(mReceiver, it, record, kReadVersion)) {
          record.mState = cell::WorkerState::Draining;
          mHolder->UpdateWorker(record);
        }
      }
    });
  }

  /** Whether the holder starts a task soon. */
  auto Starts() -> bool
  {
    constexpr auto kSettlingTime = Milliseconds(600);
    Wait(mHolder->Execute(MakeSubmission("0000000000000001")));
    Wait(net::Sleep(kSettlingTime), true);
    auto out = false;
    Do([&] { out = !mWorkers.mStarts.empty(); });
    return out;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(drainnotices, NoticesFixture)

BOOST_AUTO_TEST_CASE(notice_newer_than_the_own_view_is_heard)
{
  BOOST_CHECK(Hear(kNewerVersion));
}

BOOST_AUTO_TEST_CASE(notice_of_a_version_read_here_is_ignored)
{
  BOOST_CHECK(!Hear(kReadVersion));
  BOOST_CHECK(Read(kReadVersion) == cell::WorkerState::Ready);
}

BOOST_AUTO_TEST_CASE(notice_of_another_incarnation_is_ignored)
{
  BOOST_CHECK(!Hear(kNewerVersion, 99));
  BOOST_CHECK(!Hear(kNewerVersion, 101));
  BOOST_CHECK(mNotices.mHeard.empty());
}

BOOST_AUTO_TEST_CASE(worker_known_as_draining_is_not_reported_again)
{
  mKnown.mState = cell::WorkerState::Draining;
  BOOST_CHECK(!Hear(kNewerVersion));
}

BOOST_AUTO_TEST_CASE(row_older_than_the_notice_does_not_end_it)
{
  Hear(kNewerVersion);
  BOOST_CHECK(Read(kNewerVersion - 1) == cell::WorkerState::Draining);
  BOOST_CHECK(Read(kNewerVersion + 1) == cell::WorkerState::Ready);
  BOOST_CHECK(mNotices.mHeard.empty());
}

BOOST_AUTO_TEST_CASE(row_of_the_next_incarnation_ends_the_notice)
{
  Hear(kNewerVersion);
  mKnown.mIncarnationStartMs = 101;
  BOOST_CHECK(Read(kNewerVersion - 1) == cell::WorkerState::Ready);
}

BOOST_AUTO_TEST_CASE(removed_worker_has_no_notices)
{
  Hear(kNewerVersion);
  NoteDraining(mNotices, mKnown, kNewerVersion, mNow);
  ForgetWorker(mNotices, "w1");
  BOOST_CHECK(mNotices.mHeard.empty());
  BOOST_CHECK(TakeNotices(mNotices, mNow).empty());
}

BOOST_AUTO_TEST_CASE(notices_end_after_their_time)
{
  NoteWorkers(1);
  BOOST_TEST(TakeNotices(mNotices, mNow + kDrainNoticeTime).size() == 1U);
  BOOST_CHECK(
    TakeNotices(mNotices, mNow + kDrainNoticeTime + Milliseconds(1)).empty());
}

BOOST_AUTO_TEST_CASE(hundred_workers_drain_at_once_heartbeats_cycle_through_all)
{
  constexpr std::size_t kWorkers = 100;
  NoteWorkers(kWorkers);
  std::set<std::string> told;
  std::size_t heartbeats = 0;
  while (told.size() < kWorkers && heartbeats < kWorkers) {
    const auto notices = TakeNotices(mNotices, mNow);
    BOOST_TEST(notices.size() <= kMaxDrainNotices);
    for (const auto& it : notices) {
      told.insert(it.mWorker);
    }
    ++heartbeats;
  }
  BOOST_TEST(heartbeats == 7U);
}

BOOST_AUTO_TEST_CASE(more_workers_drain_than_are_kept_the_newest_are_told)
{
  NoteWorkers(kMaxKeptDrainNotices + 1);
  BOOST_TEST(mNotices.mRead.size() == kMaxKeptDrainNotices);
  BOOST_TEST(mNotices.mRead.back().second.mWorker ==
             std::to_string(kMaxKeptDrainNotices));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(drainnotices_holder, LateReader)

BOOST_AUTO_TEST_CASE(holder_that_hears_a_notice_before_its_feed_starts_nothing)
{
  NoteDraining(
    mSender, MakeRecord("w1"), kNewerVersion, base::MonotonicClock::now());
  Deliver(TakeNotices(mSender, base::MonotonicClock::now()));
  BOOST_TEST(!Starts());
}

BOOST_AUTO_TEST_CASE(holder_that_loses_a_datagram_hears_the_next)
{
  NoteDraining(
    mSender, MakeRecord("w1"), kNewerVersion, base::MonotonicClock::now());
  const auto lost = TakeNotices(mSender, base::MonotonicClock::now());
  BOOST_TEST(lost.size() == 1U);
  Deliver(TakeNotices(mSender, base::MonotonicClock::now()));
  BOOST_TEST(!Starts());
}

BOOST_AUTO_TEST_CASE(worker_restarted_under_its_id_gets_starts)
{
  NoteDraining(
    mSender, MakeRecord("w1"), kNewerVersion, base::MonotonicClock::now());
  Do([&] {
    mWorkers.Restart("w1");
    mHolder->UpdateWorker(MakeRecord("w1"));
  });
  Deliver(TakeNotices(mSender, base::MonotonicClock::now()));
  BOOST_TEST(Starts());
}

BOOST_AUTO_TEST_CASE(holder_that_has_read_a_later_version_ignores_the_notice)
{
  NoteDraining(
    mSender, MakeRecord("w1"), kReadVersion, base::MonotonicClock::now());
  Deliver(TakeNotices(mSender, base::MonotonicClock::now()));
  BOOST_TEST(Starts());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace eelgrasspost::dispatch::testing

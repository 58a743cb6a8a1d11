#define BOOST_TEST_MODULE dispatch_storelimits
#include <boost/test/unit_test.hpp>

#include "holderfixture.h"
#include "internal/workerkeys.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::FakeStore;
using dispatch::testing::HolderFixture;

constexpr auto kSettlingTime = Milliseconds(300);

/** A cell with a job of two tasks, whose progress the store rejects, and
 * ordinary jobs, some of them in the same partition. */
struct RejectedJob : HolderFixture
{
  const std::string mId = "00000000000000f0";
  std::vector<std::string> mOrdinary;
  std::shared_ptr<CellHolder> mHolder;

  RejectedJob()
  {
    mStore.mRejects = [this](const StoreTransaction& aTransaction) {
      return std::any_of(aTransaction.mWrites.begin(),
                         aTransaction.mWrites.end(),
                         [this](const RowWrite& aWrite) {
                           return aWrite.mRow.mTable == kProgressTable &&
                                  aWrite.mRow.mKey == "a/0/" + mId;
                         });
    };
    mHolder = MakeHolder(1);
    auto submission = MakeSubmission(mId);
    submission.mJob.mSpec.mSteps[0].mCount = 2;
    Wait(mHolder->Execute(submission));
    for (auto i = 0; i < 8; ++i) {
      mOrdinary.push_back("000000000000000" + std::to_string(i));
      Wait(mHolder->Execute(MakeSubmission(mOrdinary.back())));
    }
    BOOST_REQUIRE(Until([&] { return mWorkers.mStarts.size() == 10; }));
  }

  ~RejectedJob()
  {
    Do([&] { mHolder->End(); });
    StopPool();
  }

  auto EndTask(const std::string& aId) -> void
  {
    Do([&] { mWorkers.End(aId + ".0.0.0", cell::EndKind::Done); });
  }

  auto IsDone(const std::string& aId) -> bool
  {
    return Until([&] { return IdState(aId) == cell::JobState::Done; });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(rejected_job, RejectedJob)

// Guards against jobs that are never shown as done because the store rejects
// the progress of another job of their cell.
BOOST_AUTO_TEST_CASE(other_jobs_of_the_cell_are_stored_as_done)
{
  Do([&] {
    mWorkers.End(mId + ".0.0.0", cell::EndKind::Done);
    for (const auto& it : mOrdinary) {
      mWorkers.End(it + ".0.0.0", cell::EndKind::Done);
    }
  });
  for (const auto& it : mOrdinary) {
    BOOST_TEST(IsDone(it));
  }
  // The end of the rejected job was listed first and is not stored.
  BOOST_TEST(mWorkers.mAcknowledged == 0U);
}

// Guards against ends that are acknowledged only if all jobs of the cell are
// stored.
BOOST_AUTO_TEST_CASE(ends_before_those_of_the_rejected_job_are_acknowledged)
{
  EndTask(mOrdinary[0]);
  EndTask(mId);
  BOOST_TEST(Until([&] { return mWorkers.mAcknowledged == 1; }));
  Wait(net::Sleep(kSettlingTime), true);
  BOOST_TEST(mWorkers.mAcknowledged == 1U);
}

// Guards against a worker of which no later end is seen, as it lists as many
// unacknowledged ends as it can.
BOOST_AUTO_TEST_CASE(worker_with_a_full_list_of_ends_goes_on)
{
  Do([&] { mWorkers.mMaxListedEnds = 1; });
  EndTask(mId);
  EndTask(mOrdinary[0]);
  BOOST_TEST(IsDone(mOrdinary[0]));
}

// Guards against a transaction that the store never takes and that is sent
// again and again.
BOOST_AUTO_TEST_CASE(rejected_progress_is_not_sent_again_at_once)
{
  EndTask(mId);
  BOOST_REQUIRE(Until([&] { return mStore.mRejected > 0; }));
  Wait(net::Sleep(4 * kSettlingTime), true);
  BOOST_TEST(mStore.mRejected <= 2U);
}

// Guards against a job that ends and is still held back.
BOOST_AUTO_TEST_CASE(rejected_job_is_shown_as_done_after_its_last_task)
{
  EndTask(mId);
  BOOST_REQUIRE(Until([&] { return mStore.mRejected > 0; }));
  Do([&] { mWorkers.End(mId + ".0.0.1", cell::EndKind::Done); });
  BOOST_TEST(IsDone(mId));
  BOOST_TEST(Until([&] { return mWorkers.mAcknowledged == 2; }));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against workers that get no orders, as the store rejects the row of
// another one that came with them.
BOOST_FIXTURE_TEST_SUITE(rejected_member, HolderFixture)

BOOST_AUTO_TEST_CASE(workers_beside_the_one_at_fault_are_used)
{
  const std::string atFault = "v";
  mStore.mRejects = [](const StoreTransaction& aTransaction) {
    return std::any_of(aTransaction.mWrites.begin(),
                       aTransaction.mWrites.end(),
                       [](const RowWrite& aWrite) {
                         return aWrite.mRow.mTable == kMemberTable &&
                                aWrite.mRow.mKey == "a/0/v";
                       });
  };
  std::vector<std::string> workers = { atFault };
  for (auto i = 0; i < 20; ++i) {
    workers.push_back("w" + std::to_string(i));
  }
  const auto holder = MakeHolder(1, "a/0", workers);
  BOOST_TEST(Until([&] { return CountRows(kMemberTable) == 20; }));
  Wait(holder->Execute(MakeSubmission("0000000000000001")));
  BOOST_REQUIRE(Until([&] { return mWorkers.mStarts.size() == 1; }));
  const auto rejected = mStore.mRejected;
  Wait(net::Sleep(2 * kSettlingTime), true);
  Do([&] {
    BOOST_TEST(mStore.mRejected == rejected);
    BOOST_TEST(mWorkers.mStarts[0].mWorker != atFault);
    holder->End();
  });
}

BOOST_AUTO_TEST_SUITE_END()

/** A cell whose workers have the longest ids that the store takes. */
struct LongIds : HolderFixture
{
  const std::string mLongId = std::string(FakeStore::kMaxKeyBytes - 1, 'w');
  std::vector<std::string> mIds;

  LongIds()
  {
    for (auto i = 0; i < 5; ++i) {
      mIds.push_back(mLongId + std::to_string(i));
    }
  }

  ~LongIds()
  {
    Do([&] {
      for (const auto& [name, it] : mCells) {
        it->End();
      }
    });
    StopPool();
  }
};

BOOST_FIXTURE_TEST_SUITE(workers_with_long_ids, LongIds)

// Guards against LOST: no task was started on a sound worker, as the key of its
// row was longer than the store takes.
BOOST_AUTO_TEST_CASE(they_get_orders)
{
  const auto holder = MakeHolder(1, "a/0", mIds);
  BOOST_TEST(Until([&] { return CountRows(kMemberTable) == 5; }));
  Wait(holder->Execute(MakeSubmission("0000000000000001")));
  BOOST_TEST(Until([&] { return mWorkers.mStarts.size() == 1; }));
  BOOST_TEST(mStore.mRejected == 0U);
}

// Guards against a task that runs twice: the next holder does not know which
// workers have runs of the cell.
BOOST_AUTO_TEST_CASE(the_next_holder_knows_them)
{
  const auto holder = MakeHolder(1, "a/0", mIds);
  BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 5; }));
  Do([&] { holder->End(); });
  const auto next = MakeHolder(2, "a/0", {});
  BOOST_TEST(Until([&] { return next->State().mWorkers.size() == 5; }));
  for (const auto& it : mIds) {
    BOOST_TEST(Until([&] { return next->State().mWorkers.contains(it); }));
  }
}

// Guards against a worker that cannot be transferred between cells.
BOOST_AUTO_TEST_CASE(their_keys_differ_and_the_store_takes_them)
{
  for (const auto* prefix : { "lent/", "a/0/" }) {
    const auto key = WorkerKey(prefix, mIds[0]);
    BOOST_TEST(key.size() <= FakeStore::kMaxKeyBytes);
    BOOST_TEST(key.starts_with(prefix));
    BOOST_TEST(key != WorkerKey(prefix, mIds[1]));
  }
  BOOST_TEST(WorkerKey("lent/", "w1") == "lent/w1");
}

BOOST_AUTO_TEST_SUITE_END()

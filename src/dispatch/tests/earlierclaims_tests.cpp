#include <boost/test/unit_test.hpp>

#include <csignal>

#include "entryfixture.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::EntryFixture;

/** A job with a task that may have run on the worker w2, which does not reply.
 */
struct LostWorker : EntryFixture
{
  LostWorker()
  {
    mWorkers.mUnresponsive = { "w2" };
    cell::WorkerRecord lost;
    lost.mId = "w2";
    lost.mIncarnationStartMs = 1;
    lost.mService = "service";
    lost.mCapacity = { 16000, 64000, 0 };
    Write("p0", kMemberTable, "a/0/w2", net::Encode(lost));
    ListWorker(16000);
    AddJob(1);
  }

  ~LostWorker() { StopPool(); }

  /** On the pool's thread. */
  auto HolderInStore() -> std::string
  {
    const auto* row = mStore.Find(std::string(kControlTable), "", "cell/a/0");
    return net::Decode<CellRow>(row->mValue)->mHolder;
  }

  auto WaitForClaim() -> void
  {
    BOOST_REQUIRE(Until([&] { return HolderInStore() == "entry"; }));
  }

  auto WriteEntry(std::uint64_t aIncarnation) -> void
  {
    const auto address = *net::ParseAddress("127.0.0.1:1");
    Write("",
          kControlTable,
          "entry/other",
          net::Encode(EntryRow{ "other", aIncarnation, "a", address, 1 }));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(task_on_a_lost_worker, LostWorker)

// Guards against tasks that wait for 16 s after their holder and their worker
// were lost together: the next holder waited as if the earlier one could still
// renew leases, though its process had been started again.
BOOST_AUTO_TEST_CASE(holder_started_again_task_starts_after_its_lease)
{
  mLeaseMs = 400;
  WriteEntry(1);
  StartEntry("other");
  WaitForClaim();
  Settle();
  BOOST_TEST(CountStarts() == 0U);

  WriteEntry(2);
  BOOST_TEST(HasStarted(1));
}

// Guards against a task that runs twice: an entry that first reads a cell's row
// after its release knew of no earlier claim and of no lease.
BOOST_AUTO_TEST_CASE(row_read_first_after_its_release_task_waits_for_its_lease)
{
  StartEntry("", 1);
  WaitForClaim();
  Settle();
  Settle();

  BOOST_TEST(CountStarts() == 0U);
}

// Guards against LOST: the tasks of a cell lapse, as an entry that leaves
// writes its release only once, and others consider the cell held until the
// entry has gone.
BOOST_AUTO_TEST_CASE(entry_leaves_release_refused_is_repeated)
{
  StartEntry("other");
  WaitForClaim();
  Settle();
  Set(mStore.mIsUnavailable, true);
  std::raise(SIGTERM);
  Settle();
  Set(mStore.mIsUnavailable, false);
  Settle();

  std::string holder;
  Until([&] {
    holder = HolderInStore();
    return true;
  });
  BOOST_TEST(holder.empty());
}

// Guards against LOST: an entry that leaves keeps a cell that it claimed right
// before, and nobody renews the leases there until the entry has gone.
BOOST_AUTO_TEST_CASE(entry_leaves_cell_claimed_meanwhile_is_released)
{
  StartEntry("other");
  Settle();
  Until([&] {
    mStore.mHoldsFeeds = true;
    mStore.mReplyDelays = { Milliseconds(500) };
    return true;
  });
  WaitForClaim();
  std::raise(SIGTERM);
  Settle();
  Settle();

  std::string holder;
  Until([&] {
    holder = HolderInStore();
    return true;
  });
  BOOST_TEST(holder.empty());
}

BOOST_AUTO_TEST_SUITE_END()

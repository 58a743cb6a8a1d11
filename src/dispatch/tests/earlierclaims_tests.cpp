#include <boost/test/unit_test.hpp>

#include "entryfixture.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::EntryFixture;

/** An entry that claims a cell after the entry "other" has lost its power,
 * together with the worker w2. A job has a task that may have run there. */
struct LostHolder : EntryFixture
{
  LostHolder()
  {
    mLeaseMs = 400;
    mWorkers.mUnresponsive = { "w2" };
    cell::WorkerRecord lost;
    lost.mId = "w2";
    lost.mIncarnationStartMs = 1;
    lost.mService = "service";
    lost.mCapacity = { 16000, 64000, 0 };
    Write("p0", kMemberTable, "a/0/w2", net::Encode(lost));
    ListWorker(16000);
    AddJob(1);
    WriteEntry(1);
    StartEntry("other");
    BOOST_REQUIRE(Until([&] {
      const auto* row = mStore.Find(std::string(kControlTable), "", "cell/a/0");
      return net::Decode<CellRow>(row->mValue)->mHolder == "entry";
    }));
  }

  ~LostHolder() { StopPool(); }

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

// Guards against tasks that wait for 16 s after their holder and their worker
// were lost together: the next holder waited as if the earlier one could still
// renew leases, though its process had been started again.
BOOST_FIXTURE_TEST_CASE(
  holder_started_again_task_on_a_lost_worker_starts_after_its_lease,
  LostHolder)
{
  Settle();
  BOOST_TEST(CountStarts() == 0U);

  WriteEntry(2);
  BOOST_TEST(HasStarted(1));
}

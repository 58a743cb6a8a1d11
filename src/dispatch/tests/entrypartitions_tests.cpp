#include <boost/test/unit_test.hpp>

#include "entryfixture.h"
#include "internal/claiming.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::EntryFixture;
using dispatch::testing::FakeFault;

constexpr std::uint32_t kConfigured = 5;

/** A store with a job in its only partition, and an entry by whose settings
 * there are more, and the job belongs to another one. */
struct ChangedSettings : EntryFixture
{
  ChangedSettings()
  {
    mStoreWritesPerS = 100 * kConfigured;
    BOOST_REQUIRE(HashOf("0000000000000001") % kConfigured != 0);
    ListWorker(16000);
    AddJob(1);
  }

  ~ChangedSettings() { StopPool(); }

  auto WritePartitions(std::string aValue) -> void
  {
    Write("", kControlTable, "partitions", std::move(aValue));
  }

  /** The fence of a former holder of the cell. */
  auto WriteFence(const std::string& aPartition) -> void
  {
    Write(aPartition, kFenceTable, "a/0", "0");
  }

  auto Partitions() -> std::uint32_t
  {
    std::uint32_t out = 0;
    Until([&] {
      const auto* row =
        mStore.Find(std::string(kControlTable), "", "partitions");
      const auto partitions = row ? net::Decode<PartitionsRow>(row->mValue)
                                  : absl::NotFoundError("no row");
      out = partitions.ok() ? partitions->mCount : 0;
      return out > 0;
    });
    return out;
  }

  /** Whether the end of the job's only task is stored. */
  auto RunsJob() -> bool
  {
    if (!HasStarted(1)) {
      return false;
    }
    EndTask(0);
    return Until([&] {
      const auto* job =
        mStore.Find(std::string(kJobTable), "p0", "a/0/0000000000000001");
      return job == nullptr;
    });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(entry_with_other_settings_than_before, ChangedSettings)

// Guards against LOST: accepted jobs are answered with 410 and never done, as
// entries whose settings have changed look for them in other partitions.
BOOST_AUTO_TEST_CASE(accepted_job_is_done)
{
  WritePartitions(net::Encode(PartitionsRow{ 1 }));
  StartEntry();
  BOOST_TEST(RunsJob());
  BOOST_TEST(Partitions() == 1U);
}

// Guards against LOST after an upgrade from a version that did not store the
// number of partitions.
BOOST_AUTO_TEST_CASE(number_is_not_stored_accepted_job_is_done)
{
  WriteFence("p0");
  StartEntry();
  BOOST_TEST(RunsJob());
  BOOST_TEST(Partitions() == 1U);
}

// Guards against LOST where another writer has overwritten the number.
BOOST_AUTO_TEST_CASE(number_is_not_readable_accepted_job_is_done)
{
  WriteFence("p0");
  WritePartitions("not a row");
  StartEntry();
  BOOST_TEST(RunsJob());
  BOOST_TEST(Partitions() == 1U);
}

// Guards against two numbers, one of which was written without a reply.
BOOST_AUTO_TEST_CASE(write_of_the_number_has_no_reply_it_is_read)
{
  // StartEntry writes two rows before.
  mStore.mFaults = { FakeFault::None, FakeFault::None, FakeFault::LoseReply };
  StartEntry();
  BOOST_TEST(Partitions() == kConfigured);
  BOOST_TEST(Until([&] {
    return mStore.Find(std::string(kFenceTable), "p4", "a/0") != nullptr;
  }));
}

BOOST_AUTO_TEST_SUITE_END()

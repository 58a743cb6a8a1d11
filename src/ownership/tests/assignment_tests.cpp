#define BOOST_TEST_MODULE ownership
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/ownership/assignment.h"

namespace {

using namespace eelgrasspost::ownership;
using eelgrasspost::base::Cat;
using eelgrasspost::membership::Member;
using eelgrasspost::membership::MemberState;
using eelgrasspost::membership::MemberView;
using eelgrasspost::platform::VmRecord;

struct Size
{
  int mWorkers;
  int mEntries;
};

constexpr Size kSizes[] = { { 4, 2 },  { 7, 3 },    { 17, 3 },   { 60, 3 },
                            { 60, 8 }, { 2000, 8 }, { 2000, 30 } };
/** Fixed seeds of the names: each run checks the same assignments. */
constexpr int kSeeds = 20;

struct AssignmentFixture
{
  static auto Workers(int aCount, int aSeed) -> std::vector<VmRecord>
  {
    std::vector<VmRecord> out;
    for (int i = 0; i < aCount; ++i) {
      VmRecord worker;
      worker.mId = Cat("worker-", aSeed, "-", i);
      worker.mFailureDomain = "north";
      out.push_back(worker);
    }
    return out;
  }

  static auto Entries(int aCount, int aSeed) -> MemberView
  {
    MemberView out;
    for (int i = 0; i < aCount; ++i) {
      Member member;
      member.mIdentity.mId = Cat("entry-", aSeed, "-", i);
      member.mIdentity.mFailureDomain = "north";
      out.mMembers.push_back(member);
    }
    return out;
  }

  static auto CountMoved(const std::vector<WorkerAssignment>& aBefore,
                         const std::vector<WorkerAssignment>& aAfter)
    -> std::size_t
  {
    std::size_t out = 0;
    for (std::size_t i = 0; i < aBefore.size(); ++i) {
      out += aBefore[i].mEntry != aAfter[i].mEntry ? 1 : 0;
    }
    return out;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(assignment, AssignmentFixture)

BOOST_AUTO_TEST_CASE(assignment_any_size_gives_each_entry_the_rounded_average)
{
  for (const auto& size : kSizes) {
    for (int seed = 0; seed < kSeeds; ++seed) {
      std::map<std::string, std::size_t> shares;
      const auto workers = Workers(size.mWorkers, seed);
      const auto view = Entries(size.mEntries, seed);
      for (const auto& it : AssignWorkers(workers, view)) {
        BOOST_TEST_REQUIRE(!it.mEntry.empty());
        ++shares[it.mEntry];
      }
      for (const auto& [entry, share] : shares) {
        BOOST_TEST(share <=
                   MaxWorkersPerEntry(workers.size(), view.mMembers.size()));
        BOOST_TEST(share >= workers.size() / view.mMembers.size());
      }
      BOOST_TEST(shares.size() == view.mMembers.size());
    }
  }
}

BOOST_AUTO_TEST_CASE(assignment_entry_gone_or_back_moves_under_twice_its_share)
{
  for (const auto& size : kSizes) {
    std::size_t moved = 0;
    for (int seed = 0; seed < kSeeds; ++seed) {
      const auto workers = Workers(size.mWorkers, seed);
      auto view = Entries(size.mEntries, seed);
      const auto before = AssignWorkers(workers, view);
      view.mMembers.pop_back();
      moved += CountMoved(before, AssignWorkers(workers, view));
    }
    const auto share = static_cast<double>(size.mWorkers) / size.mEntries;
    const auto mean = static_cast<double>(moved) / kSeeds;
    BOOST_TEST_MESSAGE(size.mWorkers << " workers, " << size.mEntries
                                     << " entries: share " << share
                                     << ", moved on average " << mean);
    BOOST_TEST(mean <= 2 * share);
  }
}

BOOST_AUTO_TEST_CASE(assignment_shuffled_input_gives_the_same_result)
{
  auto random = std::mt19937(7);
  auto workers = Workers(60, 1);
  auto view = Entries(8, 1);
  const auto before = AssignWorkers(workers, view);
  std::ranges::shuffle(workers, random);
  std::ranges::shuffle(view.mMembers, random);
  BOOST_TEST(CountMoved(before, AssignWorkers(workers, view)) == 0U);
}

BOOST_AUTO_TEST_CASE(assignment_leaving_or_foreign_entries_get_no_workers)
{
  auto view = Entries(3, 1);
  view.mMembers[0].mIdentity.mFailureDomain = "south";
  view.mMembers[1].mState = MemberState::Leaving;
  for (const auto& it : AssignWorkers(Workers(60, 1), view)) {
    BOOST_TEST(it.mEntry == view.mMembers[2].mIdentity.mId);
  }
}

BOOST_AUTO_TEST_SUITE_END()

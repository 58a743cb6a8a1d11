#define BOOST_TEST_MODULE ownership
#include <boost/test/unit_test.hpp>

#include "eelgrasspost/ownership/assignment.h"

namespace {

using namespace eelgrasspost::ownership;
using eelgrasspost::membership::Member;
using eelgrasspost::membership::MemberView;
using eelgrasspost::platform::VmRecord;

struct AssignmentFixture
{
  AssignmentFixture()
  {
    for (int i = 0; i < 60; ++i) {
      VmRecord worker;
      worker.mId = "w" + std::to_string(i);
      worker.mFailureDomain = "north";
      mWorkers.push_back(worker);
    }
    for (const auto* id : { "entry-1", "entry-2", "entry-3" }) {
      Member member;
      member.mIdentity.mId = id;
      member.mIdentity.mFailureDomain = "north";
      mView.mMembers.push_back(member);
    }
  }

  std::vector<VmRecord> mWorkers;
  MemberView mView;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(assignment, AssignmentFixture)

BOOST_AUTO_TEST_CASE(assignment_entry_gone_moves_only_its_workers)
{
  const auto before = AssignWorkers(mWorkers, mView);
  mView.mMembers.pop_back();
  const auto after = AssignWorkers(mWorkers, mView);
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (before[i].mEntry != "entry-3") {
      BOOST_TEST(before[i].mEntry == after[i].mEntry);
    } else {
      BOOST_TEST(after[i].mEntry != "entry-3");
    }
  }
}

BOOST_AUTO_TEST_CASE(assignment_other_failure_domain_owns_nothing)
{
  mView.mMembers[0].mIdentity.mFailureDomain = "south";
  for (const auto& it : AssignWorkers(mWorkers, mView)) {
    BOOST_TEST(it.mEntry != "entry-1");
  }
}

BOOST_AUTO_TEST_SUITE_END()

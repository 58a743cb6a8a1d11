#include <boost/test/unit_test.hpp>

#include "internal/workercontacts.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;

struct ContactsFixture
{
  const std::vector<std::string> mMembers = { "w1", "w2", "w3", "w4" };
  WorkerContacts mContacts;

  static auto At(int aMs) -> base::BootTime
  {
    return base::BootTime(std::chrono::seconds(100) +
                          std::chrono::milliseconds(aMs));
  }

  auto Reply(const std::string& aWorker, int aSentMs, std::int64_t aIncarnation)
    -> void
  {
    NoteContact(mContacts, aWorker, aIncarnation, At(aSentMs), At(aSentMs + 5));
  }

  auto Since(int aConfirmedMs) const -> base::BootTime
  {
    return MajorityRepliedSince(mContacts, mMembers, At(aConfirmedMs));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(worker_contacts, ContactsFixture)

BOOST_AUTO_TEST_CASE(less_than_five_eighths_are_no_majority)
{
  Reply("w1", 10, 1);
  Reply("w2", 20, 1);
  BOOST_TEST((Since(1000) == base::BootTime{}));
}

BOOST_AUTO_TEST_CASE(majority_counts_from_its_earliest_call)
{
  Reply("w1", 10, 1);
  Reply("w2", 20, 1);
  Reply("w3", 30, 1);
  BOOST_TEST((Since(1000) == At(10)));
  Reply("w4", 40, 1);
  BOOST_TEST((Since(1000) == At(20)));
}

BOOST_AUTO_TEST_CASE(reply_of_a_worker_that_is_no_member_does_not_count)
{
  Reply("w1", 10, 1);
  Reply("w2", 20, 1);
  Reply("w9", 30, 1);
  BOOST_TEST((Since(1000) == base::BootTime{}));
}

// Guards against TWICE: a worker that has restarted follows an earlier holder
// again, as it has forgotten the token of the later one.
BOOST_AUTO_TEST_CASE(incarnation_seen_after_the_confirmation_does_not_count)
{
  Reply("w1", 10, 1);
  Reply("w2", 20, 1);
  Reply("w3", 30, 1);
  Reply("w3", 500, 2);
  BOOST_TEST((Since(400) == base::BootTime{}));
  BOOST_TEST(HasUnconfirmed(mContacts, At(400)));
  BOOST_TEST((Since(600) == At(10)));
  BOOST_TEST(!HasUnconfirmed(mContacts, At(600)));
}

BOOST_AUTO_TEST_CASE(more_than_half_leave_no_majority_to_the_previous_holder)
{
  BOOST_TEST(!ExcludesMajority(0, 0));
  BOOST_TEST(ExcludesMajority(1, 1));
  BOOST_TEST(!ExcludesMajority(1, 2));
  BOOST_TEST(!ExcludesMajority(6, 12));
  BOOST_TEST(ExcludesMajority(7, 12));
}

BOOST_AUTO_TEST_CASE(majority_and_acceptance_overlap_for_each_number_of_members)
{
  for (std::size_t n = 1; n <= 240; ++n) {
    std::vector<std::string> members;
    for (std::size_t i = 0; i < n; ++i) {
      members.push_back(std::to_string(i));
    }
    WorkerContacts contacts;
    std::size_t majority = 0;
    while (MajorityRepliedSince(contacts, members, At(1000)) ==
           base::BootTime{}) {
      NoteContact(contacts, members.at(majority++), 1, At(10), At(15));
    }
    std::size_t accepted = 0;
    while (!ExcludesMajority(accepted, n)) {
      ++accepted;
    }
    BOOST_TEST(majority + accepted > n);
  }
}

BOOST_AUTO_TEST_SUITE_END()

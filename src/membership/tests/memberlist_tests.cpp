#define BOOST_TEST_MODULE membership
#include <boost/test/unit_test.hpp>

#include "internal/memberlist.h"

namespace {

using namespace eelgrasspost::membership;
using eelgrasspost::base::MonotonicTime;
using std::chrono::milliseconds;

struct MemberListFixture
{
  static auto MakeMember(std::uint64_t aIncarnation, std::uint64_t aHeartbeat)
    -> Member
  {
    Member out;
    out.mIdentity.mId = "entry-2";
    out.mIdentity.mIncarnation = aIncarnation;
    out.mHeartbeat = aHeartbeat;
    return out;
  }

  MemberList mList;
  MonotonicTime mStart;
  MembershipOptions mOptions;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(memberlist, MemberListFixture)

BOOST_AUTO_TEST_CASE(member_silent_is_suspected_before_dead)
{
  Learn(mList, MakeMember(1, 1), mStart);
  Judge(mList, mOptions, mStart + milliseconds(1500));
  BOOST_TEST((mList.mMembers[0].mMember.mState == MemberState::Suspect));
  Judge(mList, mOptions, mStart + milliseconds(2500));
  BOOST_TEST((mList.mMembers[0].mMember.mState == MemberState::Dead));
}

BOOST_AUTO_TEST_CASE(member_old_heartbeat_does_not_refresh)
{
  Learn(mList, MakeMember(2, 5), mStart);
  Learn(mList, MakeMember(2, 5), mStart + milliseconds(1900));
  Learn(mList, MakeMember(1, 9), mStart + milliseconds(1900));
  Judge(mList, mOptions, mStart + milliseconds(2100));
  BOOST_TEST((mList.mMembers[0].mMember.mState == MemberState::Dead));
}

BOOST_AUTO_TEST_CASE(member_newer_incarnation_is_alive_again)
{
  Learn(mList, MakeMember(1, 5), mStart);
  Judge(mList, mOptions, mStart + milliseconds(2500));
  Learn(mList, MakeMember(2, 1), mStart + milliseconds(2600));
  BOOST_TEST((mList.mMembers[0].mMember.mState == MemberState::Alive));
}

BOOST_AUTO_TEST_SUITE_END()

#define BOOST_TEST_MODULE membership
#include <boost/test/unit_test.hpp>

#include <random>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/net/codec.h"
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

  /** Detects failures every 100 ms, as a running process does. */
  auto DetectFailuresBetween(int aFromMs, int aToMs) -> void
  {
    for (auto ms = aFromMs; ms <= aToMs; ms += 100) {
      DetectFailures(mList, mOptions, mStart + milliseconds(ms));
    }
  }

  auto State() const -> MemberState { return mList.mMembers[0].mMember.mState; }

  MemberList mList;
  MonotonicTime mStart{ milliseconds(1000) };
  MembershipOptions mOptions;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(memberlist, MemberListFixture)

BOOST_AUTO_TEST_CASE(member_without_heartbeats_is_suspected_before_dead)
{
  MergeMember(mList, MakeMember(1, 1), mStart);
  DetectFailures(mList, mOptions, mStart + milliseconds(1500));
  BOOST_TEST((mList.mMembers[0].mMember.mState == MemberState::Suspect));
  DetectFailuresBetween(1600, 2500);
  BOOST_TEST((mList.mMembers[0].mMember.mState == MemberState::Dead));
}

BOOST_AUTO_TEST_CASE(member_old_heartbeat_does_not_refresh)
{
  MergeMember(mList, MakeMember(2, 5), mStart);
  MergeMember(mList, MakeMember(2, 5), mStart + milliseconds(1900));
  MergeMember(mList, MakeMember(1, 9), mStart + milliseconds(1900));
  DetectFailuresBetween(1900, 2100);
  BOOST_TEST((mList.mMembers[0].mMember.mState == MemberState::Dead));
}

BOOST_AUTO_TEST_CASE(member_newer_incarnation_is_alive_again)
{
  MergeMember(mList, MakeMember(1, 5), mStart);
  DetectFailuresBetween(0, 2500);
  MergeMember(mList, MakeMember(2, 1), mStart + milliseconds(2600));
  BOOST_TEST((mList.mMembers[0].mMember.mState == MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(member_after_own_pause_is_not_declared_dead)
{
  MergeMember(mList, MakeMember(1, 1), mStart);
  DetectFailuresBetween(0, 100);
  DetectFailures(mList, mOptions, mStart + milliseconds(9000));
  BOOST_TEST((State() == MemberState::Alive));
  DetectFailuresBetween(9100, 11500);
  BOOST_TEST((State() == MemberState::Dead));
}

BOOST_AUTO_TEST_CASE(member_suspected_is_refuted_by_an_indirect_heartbeat)
{
  MergeMember(mList, MakeMember(1, 1), mStart);
  DetectFailuresBetween(0, 1500);
  BOOST_TEST((State() == MemberState::Suspect));
  const auto digest = MemberDigest{ DigestKey("entry-2"), 1, 2, false };
  BOOST_TEST(MergeDigest(mList, digest, mStart + milliseconds(1500)));
  BOOST_TEST((State() == MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(member_that_left_stays_leaving_until_restarted)
{
  MergeMember(mList, MakeMember(1, 1), mStart);
  MergeDigest(mList, { DigestKey("entry-2"), 1, 2, true }, mStart);
  MergeDigest(mList, { DigestKey("entry-2"), 1, 3, false }, mStart);
  BOOST_TEST((State() == MemberState::Leaving));
  MergeMember(mList, MakeMember(2, 1), mStart);
  BOOST_TEST((State() == MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(member_dead_for_long_is_removed)
{
  MergeMember(mList, MakeMember(1, 1), mStart);
  DetectFailuresBetween(0, 61000);
  BOOST_TEST(mList.mMembers.empty());
}

BOOST_AUTO_TEST_CASE(leaving_worker_expires_unless_announced_again)
{
  const auto worker = LeavingWorker{ "worker-1", "boot-1" };
  BOOST_TEST(MergeLeavingWorker(mList, { worker, 590000 }, mStart));
  BOOST_TEST(!MergeLeavingWorker(mList, { worker, 595000 }, mStart));
  DetectFailuresBetween(0, 9900);
  BOOST_TEST(mList.mLeavingWorkers.size() == 1U);
  DetectFailuresBetween(10000, 10100);
  BOOST_TEST(mList.mLeavingWorkers.empty());
}

BOOST_AUTO_TEST_CASE(heartbeat_of_any_number_of_entries_fits_into_a_datagram)
{
  for (const auto entries : { 2, 8, 32, 300 }) {
    MemberList list;
    list.mSelf.mId = "entry-0";
    for (int i = 1; i < entries; ++i) {
      auto member = MakeMember(1, 1);
      member.mIdentity.mId = eelgrasspost::base::Cat("entry-vm-", i);
      member.mIdentity.mFailureDomain = i % 10 == 0 ? "" : "other";
      MergeMember(list, member, mStart);
    }
    for (int i = 0; i < entries; ++i) {
      const auto id = eelgrasspost::base::Cat("worker-", i);
      MergeLeavingWorker(list, { { id, "boot" }, 0 }, mStart);
    }
    const auto heartbeat = MakeHeartbeat(list, {}, mOptions, mStart);
    const auto bytes = eelgrasspost::net::Encode(heartbeat).size();
    BOOST_TEST_MESSAGE(entries << " entries: " << bytes << " bytes");
    BOOST_TEST(bytes <= mOptions.mMaxDatagramBytes);
    BOOST_TEST(!heartbeat.mDigests.empty());
  }
}

BOOST_AUTO_TEST_CASE(machine_random_events_end_leaving_only_by_restart_or_death)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    auto random = std::mt19937_64(seed);
    MemberStateMachine machine;
    for (int i = 0; i < 20000; ++i) {
      const auto before = machine.State();
      const auto event = kMemberEventNames[random() % kMemberEventNames.size()];
      const auto after = machine.Process(event.mValue);
      const auto isLeaveAnnounced = event.mValue == MemberEvent::LeaveAnnounced;
      if (before == MemberState::Leaving && after != before) {
        BOOST_TEST_REQUIRE((event.mValue == MemberEvent::Restarted ||
                            event.mValue == MemberEvent::DeadTimeout));
      }
      BOOST_TEST_REQUIRE((!isLeaveAnnounced || after == MemberState::Leaving));
      if (after == MemberState::Dead && before != after) {
        BOOST_TEST_REQUIRE((event.mValue == MemberEvent::DeadTimeout));
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>

#include "internal/peeridentity.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;

/** A peer that is heard under incarnation 10, which its row names as well. */
struct HeardPeer
{
  PeerIdentity mPeer;
  base::BootTime mNow = base::BootNow();

  HeardPeer()
  {
    NoteRow(mPeer, 10, mNow);
    Hear(10);
  }

  auto Hear(std::uint64_t aIncarnation, bool aIsSilent = false)
    -> HeartbeatSource
  {
    mNow += base::Milliseconds(300);
    return NoteHeartbeat(mPeer, aIncarnation, aIsSilent, mNow);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(peer_identity, HeardPeer)

BOOST_AUTO_TEST_CASE(peer_registers_again_it_is_heard_and_the_former_has_ended)
{
  BOOST_TEST((Hear(11) == HeartbeatSource::Later));
  BOOST_TEST(HasEnded(mPeer, 10));
  BOOST_TEST(!HasEnded(mPeer, 11));
  BOOST_TEST((mPeer.mSeenAt == mNow));
  BOOST_TEST((Hear(11) == HeartbeatSource::Known));
  BOOST_TEST((Hear(10) == HeartbeatSource::Earlier));
}

// Guards against an entry that is ignored while it cannot reach the store.
BOOST_AUTO_TEST_CASE(peer_has_not_registered_it_is_heard_within_two_heartbeats)
{
  BOOST_TEST((Hear(0) == HeartbeatSource::Unproved));
  BOOST_TEST(!HasEnded(mPeer, 10));
  BOOST_TEST((Hear(0) == HeartbeatSource::Later));
  BOOST_TEST(HasEnded(mPeer, 10));
  BOOST_TEST(PresentIncarnation(mPeer) == 0U);
  BOOST_TEST((Hear(0) == HeartbeatSource::Known));
  BOOST_TEST((Hear(11) == HeartbeatSource::Later));
  BOOST_TEST(PresentIncarnation(mPeer) == 11U);
}

// Guards against a late datagram that passes for a restart: the peer's cells
// would be claimed while it holds them.
BOOST_AUTO_TEST_CASE(late_heartbeats_between_those_of_the_peer_change_nothing)
{
  for (auto i = 0; i < 3; ++i) {
    BOOST_TEST((Hear(0) == HeartbeatSource::Unproved));
    BOOST_TEST((Hear(10) == HeartbeatSource::Known));
  }
  BOOST_TEST((Hear(9) == HeartbeatSource::Earlier));
  BOOST_TEST(!HasEnded(mPeer, 10));
}

BOOST_AUTO_TEST_CASE(row_of_a_later_process_shows_that_the_former_has_ended)
{
  BOOST_TEST(NoteRow(mPeer, 12, mNow));
  BOOST_TEST(HasEnded(mPeer, 10));
  BOOST_TEST((Hear(10) == HeartbeatSource::Earlier));
  BOOST_TEST((Hear(12) == HeartbeatSource::Later));
}

BOOST_AUTO_TEST_CASE(row_read_late_changes_nothing)
{
  Hear(11);
  BOOST_TEST(!NoteRow(mPeer, 10, mNow));
  BOOST_TEST(PresentIncarnation(mPeer) == 11U);
}

// Guards against an entry that is ignored for good after its row was lost, so
// that it could not take a higher incarnation.
BOOST_AUTO_TEST_CASE(
  lower_incarnation_that_the_row_names_is_heard_after_silence)
{
  NoteRow(mPeer, 5, mNow);
  BOOST_TEST((Hear(5) == HeartbeatSource::Earlier));
  BOOST_TEST((Hear(4, true) == HeartbeatSource::Earlier));
  BOOST_TEST((Hear(5, true) == HeartbeatSource::Later));
  BOOST_TEST((Hear(5) == HeartbeatSource::Known));
}

BOOST_AUTO_TEST_SUITE_END()

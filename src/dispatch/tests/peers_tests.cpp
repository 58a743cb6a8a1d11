#include <boost/test/unit_test.hpp>

#include "internal/peers.h"

namespace {

using namespace eelgrasspost::dispatch;

/** A deployment of several domains in which some entries hold cells. Only the
 * number of heartbeats is computed; nothing is sent. */
struct HeartbeatLoadFixture
{
  static constexpr std::uint32_t kDomains = 5;
  static constexpr std::uint32_t kHoldersPerDomain = 3;
  static constexpr std::uint64_t kInfrequentInterval = 8;

  struct Load
  {
    double mSentPerHeartbeat = 0;
    double mReceivedPerHeartbeat = 0;
  };

  /** Average over eight heartbeats of an entry in the first domain. */
  static auto LoadOf(bool aHoldsCells, std::uint32_t aEntriesPerDomain) -> Load
  {
    Load out;
    for (std::uint64_t n = 0; n < kInfrequentInterval; ++n) {
      for (std::uint32_t i = 0; i < kDomains * aEntriesPerDomain; ++i) {
        const auto isInOwnDomain = i < aEntriesPerDomain;
        const auto peerHolds = i % aEntriesPerDomain < kHoldersPerDomain;
        const auto sends =
          MustSendHeartbeat({ isInOwnDomain, peerHolds }, aHoldsCells, n);
        const auto receives =
          MustSendHeartbeat({ isInOwnDomain, aHoldsCells }, peerHolds, n);
        out.mSentPerHeartbeat += sends ? 1 : 0;
        out.mReceivedPerHeartbeat += receives ? 1 : 0;
      }
    }
    out.mSentPerHeartbeat /= kInfrequentInterval;
    out.mReceivedPerHeartbeat /= kInfrequentInterval;
    return out;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(heartbeat_targets, HeartbeatLoadFixture)

BOOST_AUTO_TEST_CASE(entry_without_cells_in_150_entries_sends_to_its_domain)
{
  constexpr std::uint32_t kEntriesPerDomain = 30;
  const auto load = LoadOf(false, kEntriesPerDomain);
  // Its domain, and the holders of the others once in eight heartbeats.
  BOOST_TEST(load.mSentPerHeartbeat <= 30 + 12 / 8.0);
  BOOST_TEST(load.mReceivedPerHeartbeat <= 30 + 12);
}

BOOST_AUTO_TEST_CASE(entry_with_cells_sends_to_all_entries)
{
  constexpr std::uint32_t kEntriesPerDomain = 30;
  BOOST_TEST(LoadOf(true, kEntriesPerDomain).mSentPerHeartbeat == 150.0);
}

BOOST_AUTO_TEST_CASE(peer_silent_for_long_gets_only_infrequent_heartbeats)
{
  const auto silent = HeartbeatTarget{ true, false, Milliseconds(11000) };
  BOOST_TEST(MustSendHeartbeat(silent, true, 0));
  BOOST_TEST(!MustSendHeartbeat(silent, true, 1));
}

BOOST_AUTO_TEST_CASE(holder_of_another_domain_hears_from_entry_without_cells)
{
  // A holder sends to all entries only while it hears from them.
  const auto holder = HeartbeatTarget{ false, true };
  BOOST_TEST(MustSendHeartbeat(holder, false, 0));
  BOOST_TEST(!MustSendHeartbeat(holder, false, 1));
  const auto other = HeartbeatTarget{ false, false };
  BOOST_TEST(!MustSendHeartbeat(other, false, 0));
}

BOOST_AUTO_TEST_SUITE_END()

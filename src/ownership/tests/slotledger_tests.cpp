#include <boost/test/unit_test.hpp>

#include <thread>

#include "eelgrasspost/ownership/slotledger.h"

namespace {

using eelgrasspost::ownership::SlotLedger;

} // namespace

BOOST_AUTO_TEST_SUITE(slotledger)

BOOST_AUTO_TEST_CASE(ledger_full_refuses_until_release)
{
  SlotLedger ledger(2, 1);
  BOOST_TEST(ledger.TryReserve());
  BOOST_TEST(!ledger.TryReserve());
  ledger.Release();
  BOOST_TEST(ledger.TryReserve());
}

BOOST_AUTO_TEST_CASE(ledger_unknown_attempt_keeps_its_slot)
{
  SlotLedger ledger(1, 0);
  BOOST_TEST(ledger.TryReserve());
  ledger.AddUnknownAttempt("a1");
  BOOST_TEST(!ledger.TryReserve());
  ledger.ReleaseUnknown("a1");
  ledger.ReleaseUnknown("a1");
  BOOST_TEST(ledger.Used() == 0);
}

BOOST_AUTO_TEST_CASE(ledger_unreported_attempt_that_may_arrive_keeps_its_slot)
{
  SlotLedger ledger(1, 0);
  BOOST_TEST(ledger.TryReserve());
  ledger.AddUnknownAttempt("a1");
  ledger.ReconcileWithReport({});
  BOOST_TEST(ledger.Used() == 1);
  BOOST_TEST(ledger.HasUnfencedAttempts());
  ledger.MarkFenced({ "a1" });
  BOOST_TEST(!ledger.HasUnfencedAttempts());
  ledger.ReconcileWithReport({});
  BOOST_TEST(ledger.Used() == 0);
}

BOOST_AUTO_TEST_CASE(ledger_reported_attempt_is_released_once_unreported)
{
  SlotLedger ledger(1, 0);
  BOOST_TEST(ledger.TryReserve());
  ledger.AddUnknownAttempt("a1");
  ledger.ReconcileWithReport({ "a1" });
  BOOST_TEST(ledger.Used() == 1);
  ledger.ReconcileWithReport({});
  BOOST_TEST(ledger.Used() == 0);
}

BOOST_AUTO_TEST_CASE(ledger_attempt_still_reported_keeps_its_slot)
{
  SlotLedger ledger(1, 1);
  ledger.AddReportedAttempt("a1");
  ledger.ReconcileWithReport({ "a1" });
  BOOST_TEST(ledger.Used() == 1);
}

BOOST_AUTO_TEST_CASE(ledger_many_threads_never_exceed_slots)
{
  constexpr int kSlots = 8;
  SlotLedger ledger(kSlots, 0);
  std::atomic<int> inside{ 0 };
  std::atomic<int> maxInside{ 0 };
  std::vector<std::jthread> threads;
  threads.reserve(4);
  for (int n = 0; n < 4; ++n) {
    threads.emplace_back([&] {
      for (int i = 0; i < 20000; ++i) {
        if (ledger.TryReserve()) {
          const auto now = ++inside;
          auto seen = maxInside.load();
          while (now > seen && !maxInside.compare_exchange_weak(seen, now)) {
          }
          --inside;
          ledger.Release();
        }
      }
    });
  }
  threads.clear();
  BOOST_TEST(maxInside <= kSlots);
  BOOST_TEST(ledger.Used() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>

#include "holderfixture.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::FakeFault;
using dispatch::testing::HolderFixture;

/** Long enough for a holder to start each task that it considers startable. */
constexpr auto kSettlingTime = Milliseconds(300);

/** A command that asks cell "a/0" for a worker. */
auto MakeTransfer() -> JobCommand
{
  JobCommand out;
  out.mKind = JobCommandKind::TransferWorker;
  out.mCell = "a/0";
  out.mRequest = { "b/0", "service", { 1000, 1000, 0 } };
  out.mTimeoutMs = 3000;
  return out;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(transfers, HolderFixture)

// The holder forgot the token of the loan, was refused by the worker and ended
// itself, though no other entry had claimed the cell.
BOOST_AUTO_TEST_CASE(holder_transfer_of_a_borrowed_worker_fails_stays_active)
{
  const auto holder = MakeHolder(1);
  Do([&] { holder->RaiseMinToken("w1", 5000); });
  BOOST_REQUIRE(Until([&] {
    const auto& workers = holder->State().mWorkers;
    return workers.contains("w1") && workers.at("w1")->mIsKnown &&
           mWorkers.mTokens["w1"] >= 5000 * 65536ULL;
  }));
  Do([&] {
    mStore.mFaults = { FakeFault::Refuse,
                       FakeFault::Refuse,
                       FakeFault::Refuse };
  });

  const auto reply = Wait(holder->Execute(MakeTransfer()));
  Wait(net::Sleep(kSettlingTime), true);

  BOOST_TEST((reply.mOutcome == JobOutcome::Refused));
  BOOST_TEST((holder->Phase() == HolderPhase::Active));
  Do([&] { holder->End(); });
}

BOOST_AUTO_TEST_SUITE_END()

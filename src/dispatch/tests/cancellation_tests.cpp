#define BOOST_TEST_MODULE dispatch_cancellation
#include <boost/test/unit_test.hpp>

#include "cancellationfixture.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::CallersAndCells;

/** A caller that does not ask again after this time. */
constexpr auto kShortTimeout = Milliseconds(400);

auto IsAcknowledged(CallerOutcome aOutcome) -> bool
{
  return aOutcome == CallerOutcome::Cancelled ||
         aOutcome == CallerOutcome::UnknownJob;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cancellation)

// A cancellation during an outage of the store was forgotten; the job ran on.
BOOST_FIXTURE_TEST_CASE(
  cancellation_store_unavailable_takes_effect_after_the_outage,
  CallersAndCells)
{
  SubmitAndStart();
  Do([&] { mStore.mIsUnavailable = true; });
  BOOST_TEST(!IsAcknowledged(Request("DELETE", kShortTimeout)));
  // The holder has ended meanwhile, so that what it knew is lost.
  Do([&] {
    mFirst->End();
    mStore.mIsUnavailable = false;
    mFirst = MakeHolder(2);
    mCells["a/0"] = mFirst;
  });
  BOOST_TEST(IsCancelledWithinLimit());
  Do([&] { BOOST_TEST((IdState(kId) == cell::JobState::Cancelled)); });
}

// A cancellation was forgotten if the cell had no holder until the caller's
// timeout.
BOOST_FIXTURE_TEST_CASE(
  cancellation_cell_without_holder_takes_effect_after_the_takeover,
  CallersAndCells)
{
  SubmitAndStart();
  Do([&] {
    mFirst->End();
    mCells.erase("a/0");
  });
  BOOST_TEST(!IsAcknowledged(Request("DELETE", kShortTimeout)));
  Do([&] {
    mFirst = MakeHolder(2);
    mCells["a/0"] = mFirst;
  });
  BOOST_TEST(IsCancelledWithinLimit());
  Do([&] { BOOST_TEST((IdState(kId) == cell::JobState::Cancelled)); });
}

BOOST_AUTO_TEST_SUITE_END()

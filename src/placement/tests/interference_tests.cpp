#include <boost/test/unit_test.hpp>

#include "eelgrasspost/placement/interference.h"

namespace {

using namespace eelgrasspost::placement;
using eelgrasspost::base::Milliseconds;
using eelgrasspost::base::MonotonicTime;

struct InterferenceFixture
{
  auto Feed(double aBaselineMs,
            double aColocatedMs,
            std::int64_t aColocatedLoad = 50) -> void
  {
    for (int i = 0; i < 10; ++i) {
      mNow += Milliseconds(1000);
      mTracker.Add({ "quotes", 50, aBaselineMs, {}, mNow });
      mTracker.Add(
        { "quotes", aColocatedLoad, aColocatedMs, { "husk" }, mNow });
    }
  }
  auto Decide() -> Mitigation
  {
    return mTracker.Decide("quotes", "husk", mNow);
  }

  InterferenceTracker mTracker{ InterferencePolicy{} };
  MonotonicTime mNow = MonotonicTime() + std::chrono::hours(1);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(interference, InterferenceFixture)

BOOST_AUTO_TEST_CASE(pair_with_slowdown_is_throttled_before_evicted)
{
  Feed(20, 40);
  BOOST_TEST((Decide() == Mitigation::Throttle));
  BOOST_TEST((Decide() == Mitigation::Throttle));
  Feed(20, 40);
  BOOST_TEST((Decide() == Mitigation::Evict));
}

BOOST_AUTO_TEST_CASE(pair_between_thresholds_keeps_its_mitigation)
{
  Feed(20, 24);
  BOOST_TEST((Decide() == Mitigation::None));
  Feed(20, 200);
  BOOST_TEST((Decide() == Mitigation::Throttle));
}

BOOST_AUTO_TEST_CASE(pair_at_different_load_yields_no_slowdown)
{
  Feed(20, 60, 95);
  BOOST_TEST(mTracker.Slowdown("quotes", "husk", mNow) == 1.0);
  BOOST_TEST((Decide() == Mitigation::None));
}

BOOST_AUTO_TEST_CASE(pair_with_old_samples_yields_no_slowdown)
{
  Feed(20, 60);
  BOOST_TEST(mTracker.Slowdown("quotes", "husk", mNow) > 2.0);
  mNow += Milliseconds(600000);
  BOOST_TEST(mTracker.Slowdown("quotes", "husk", mNow) == 1.0);
  BOOST_TEST((Decide() == Mitigation::None));
}

BOOST_AUTO_TEST_SUITE_END()

#define BOOST_TEST_MODULE load
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cmath>

#include "eelgrasspost/load/loadrun.h"
#include "eelgrasspost/net/iopool.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::load;

struct ServerFixture
{
  ServerFixture() { mPool.Start(); }

  net::IoPool mPool{ 1 };
  net::HttpServer mServer{ mPool, {}, [this](net::HttpRequest aRequest) {
                            return Answer(std::move(aRequest));
                          } };
  std::int64_t mRequests = 0;

  /** Refuses every fourth request and answers the others late. */
  auto Answer(net::HttpRequest) -> net::Task<net::HttpResponse>
  {
    if (mRequests++ % 4 == 0) {
      co_return net::HttpResponse{ 503, { { "Outcome", "not_run" } }, "" };
    }
    co_await net::Sleep(base::Milliseconds(30));
    co_return net::HttpResponse{ 200, { { "Outcome", "answered" } }, "" };
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(load)

BOOST_AUTO_TEST_CASE(steps_malformed_are_refused)
{
  for (const auto* text : { "", "5", "a:5", "5:0", "1-2-3:4" }) {
    const auto steps = ParseSteps(text);
    BOOST_TEST_CONTEXT(text)
    {
      BOOST_TEST(!steps.ok());
    }
  }
  const auto steps = ParseSteps("100:5, 100-400:2");
  BOOST_TEST_REQUIRE(steps.ok());
  BOOST_TEST(steps->at(1).mToRate == 400.0);
}

BOOST_AUTO_TEST_CASE(arrivals_of_a_ramp_follow_its_rate_in_order)
{
  const auto steps = ParseSteps("1000:2,1000-3000:2").value();
  const auto arrivals = MakeArrivals(steps, 1);
  BOOST_TEST(std::ranges::is_sorted(arrivals, {}, &Arrival::mAt));
  const auto inRamp = std::ranges::count(arrivals, 1U, &Arrival::mStep);
  BOOST_TEST(std::abs(static_cast<double>(inRamp) - 4000.0) < 200.0);
  const auto again = MakeArrivals(steps, 1);
  BOOST_TEST(again.size() == arrivals.size());
}

BOOST_AUTO_TEST_CASE(quantile_of_sorted_times_is_the_nearest)
{
  const auto times = std::vector{ base::Microseconds(1),
                                  base::Microseconds(2),
                                  base::Microseconds(9) };
  BOOST_TEST(QuantileOf(times, 0.5).count() == 2);
  BOOST_TEST(QuantileOf(times, 0.99).count() == 9);
  BOOST_TEST(QuantileOf({}, 0.5).count() == 0);
}

BOOST_FIXTURE_TEST_CASE(run_against_a_server_counts_each_request_once,
                        ServerFixture)
{
  LoadPlan plan;
  plan.mTargets = { { mServer.Listen({ "127.0.0.1", 0 }).value(), {} } };
  plan.mPath = "/";
  plan.mDeadline = base::Milliseconds(20);
  plan.mSteps = ParseSteps("400:1").value();
  const auto results = RunLoad(plan);
  BOOST_TEST_REQUIRE(results.size() == 1U);
  const auto& step = results[0];
  BOOST_TEST(step.mSent == std::ssize(MakeArrivals(plan.mSteps, plan.mSeed)));
  BOOST_TEST(step.mInTime == 0);
  BOOST_TEST(step.mRefused == (step.mSent + 3) / 4);
  BOOST_TEST(step.mLate == step.mSent - step.mRefused);
  BOOST_TEST(step.mUnknown == 0);
}

BOOST_AUTO_TEST_SUITE_END()

#define BOOST_TEST_MODULE underload
#include <boost/test/unit_test.hpp>

#include "cluster.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/load/loadrun.h"

namespace {

using namespace eelgrasspost;
using harness::Cluster;
using harness::WaitUntil;
namespace json = base::json;

constexpr auto kTimeout = base::Milliseconds(20000);
/** Maximum median time of a refusal. */
constexpr auto kRefusalTarget = base::Milliseconds(10);
constexpr unsigned kOk = 200;

auto MakeOptions(int aDomains, int aWorkersPerDomain, int aSlots)
  -> harness::ClusterOptions
{
  harness::ClusterOptions out;
  out.mDomains = aDomains;
  out.mEntriesPerDomain = 1;
  out.mWorkersPerDomain = aWorkersPerDomain;
  out.mSlots = aSlots;
  return out;
}

struct ServiceCluster
{
  explicit ServiceCluster(const harness::ClusterOptions& aOptions)
    : mCluster(aOptions)
  {
    BOOST_TEST_REQUIRE(mCluster.WaitForOwners());
    mCluster.ApplyNote(mCluster.MakeServiceNote("quotes", true));
  }

  /** Sends one request through an entry; returns the status, or 0 without a
   * response. */
  auto SendRequest(std::size_t aEntry) -> unsigned
  {
    const auto exchange = mCluster.CallService(aEntry, "quotes/site?work_ms=1");
    return exchange.mStatus.ok() ? exchange.mResponse.mStatus : 0;
  }
  auto RunLoadStep(std::size_t aEntry, std::string_view aStep, int aWorkMs)
    -> load::StepResult
  {
    load::LoadPlan plan;
    plan.mTargets = { { mCluster.mEntries[aEntry].mHttp, {} } };
    plan.mPath = base::Cat("/services/quotes/site?work_ms=", aWorkMs);
    plan.mSteps = load::ParseSteps(aStep).value();
    plan.mThreads = 1;
    return load::RunLoad(plan).at(0);
  }
  auto MaxRequests() -> std::int64_t
  {
    std::int64_t max = 0;
    for (std::size_t i = 0; i < mCluster.mWorkers.size(); ++i) {
      const auto observed = mCluster.ReadObservation(i);
      max = std::max(max, base::NumberField(observed, "most_requests"));
    }
    return max;
  }
  auto RequestCount(std::size_t aWorker) -> std::int64_t
  {
    return base::NumberField(mCluster.ReadObservation(aWorker), "requests_run");
  }

  Cluster mCluster;
};

struct FourWorkers : ServiceCluster
{
  FourWorkers()
    : ServiceCluster(MakeOptions(1, 4, 8))
  {
  }
};

struct TwoSlots : ServiceCluster
{
  TwoSlots()
    : ServiceCluster(MakeOptions(1, 1, 2))
  {
  }
};

struct TwoDomains : ServiceCluster
{
  TwoDomains()
    : ServiceCluster(MakeOptions(2, 1, 4))
  {
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(underload)

BOOST_FIXTURE_TEST_CASE(
  slots_full_excess_requests_are_refused_at_once_and_not_run,
  TwoSlots)
{
  const auto result = RunLoadStep(0, "100:3", 100);
  BOOST_TEST(result.mUnknown == 0);
  BOOST_TEST(result.mLate == 0);
  BOOST_TEST(result.mRefused > result.mSent / 2);
  BOOST_TEST(result.mInTime + result.mRefused == result.mSent);
  BOOST_TEST(RequestCount(0) == result.mInTime);
  BOOST_TEST(MaxRequests() == 2);
  BOOST_TEST((load::QuantileOf(result.mRefusalTimes, 0.5) < kRefusalTarget));
}

BOOST_FIXTURE_TEST_CASE(
  endpoint_failing_all_requests_is_ejected_until_it_recovers,
  FourWorkers)
{
  json::object fault;
  fault["fails_all"] = true;
  mCluster.SetWorkerFaults(0, fault);
  const auto isEjected = [&] {
    SendRequest(0);
    return mCluster.ReadCounter(0, "ejections_total") > 0;
  };
  BOOST_TEST_REQUIRE(WaitUntil(isEjected, kTimeout));
  fault["fails_all"] = false;
  mCluster.SetWorkerFaults(0, fault);
  const auto before = RequestCount(0);
  const auto hasRecovered = [&] {
    SendRequest(0);
    return RequestCount(0) > before + 3;
  };
  BOOST_TEST(WaitUntil(hasRecovered, kTimeout));
}

BOOST_FIXTURE_TEST_CASE(
  endpoint_refusing_connections_requests_run_at_other_endpoints,
  FourWorkers)
{
  json::object fault;
  fault["refuse"] = true;
  mCluster.InjectFault("worker-1", fault);
  for (int i = 0; i < 40; ++i) {
    BOOST_TEST(SendRequest(0) == kOk);
  }
}

BOOST_FIXTURE_TEST_CASE(domain_overloaded_spills_until_the_load_falls,
                        TwoDomains)
{
  // The local slots serve 40 requests a second.
  const auto result = RunLoadStep(0, "70:4", 100);
  BOOST_TEST(mCluster.ReadCounter(0, "spills_total") > 0);
  BOOST_TEST(RequestCount(1) > 0);
  BOOST_TEST(result.mUnknown == 0);
  BOOST_TEST(MaxRequests() <= 4);
  const auto hasRecovered = [&] {
    const auto before = RequestCount(1);
    for (int i = 0; i < 20; ++i) {
      SendRequest(0);
    }
    return RequestCount(1) == before;
  };
  BOOST_TEST(WaitUntil(hasRecovered, kTimeout));
}

BOOST_FIXTURE_TEST_CASE(domain_cut_off_goes_on_alone, TwoDomains)
{
  json::object partition;
  partition["cut_to"] = true;
  partition["cut_back"] = true;
  mCluster.InjectFault("entry-1", partition);
  mCluster.InjectFault("entry-2", partition);
  mCluster.InjectFault("platform", partition);
  for (std::size_t entry = 0; entry < 2; ++entry) {
    const auto result = RunLoadStep(entry, "20:4", 20);
    BOOST_TEST_INFO(base::Cat("late ",
                              result.mLate,
                              ", refused ",
                              result.mRefused,
                              ", unknown ",
                              result.mUnknown));
    BOOST_TEST(result.mInTime == result.mSent);
  }
}

BOOST_AUTO_TEST_SUITE_END()

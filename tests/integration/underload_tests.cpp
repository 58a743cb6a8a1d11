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

constexpr auto kWait = base::Milliseconds(20000);
/** A refusal tells the caller in less than this. */
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
    mCluster.PutInForce(mCluster.NoteAdding("quotes", true));
  }

  /** Status of one request through an entry; 0 without an answer. */
  auto Ask(std::size_t aEntry) -> unsigned
  {
    const auto exchange = mCluster.Call(aEntry, "quotes/site?work_ms=1");
    return exchange.mStatus.ok() ? exchange.mResponse.mStatus : 0;
  }
  auto Load(std::size_t aEntry, std::string_view aSteps, int aWorkMs)
    -> load::StepResult
  {
    load::LoadPlan plan;
    plan.mTargets = { { mCluster.mEntries[aEntry].mHttp, {} } };
    plan.mPath = base::Cat("/services/quotes/site?work_ms=", aWorkMs);
    plan.mSteps = load::ParseSteps(aSteps).value();
    plan.mThreads = 1;
    return load::RunLoad(plan).at(0);
  }
  auto MostRequests() -> std::int64_t
  {
    std::int64_t most = 0;
    for (std::size_t i = 0; i < mCluster.mWorkers.size(); ++i) {
      const auto observed = mCluster.Observed(i);
      most = std::max(most, base::NumberField(observed, "most_requests"));
    }
    return most;
  }
  auto RequestsRun(std::size_t aWorker) -> std::int64_t
  {
    return base::NumberField(mCluster.Observed(aWorker), "requests_run");
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

BOOST_FIXTURE_TEST_CASE(slots_full_overload_is_refused_at_once_and_not_run,
                        TwoSlots)
{
  const auto result = Load(0, "100:3", 100);
  BOOST_TEST(result.mUnknown == 0);
  BOOST_TEST(result.mLate == 0);
  BOOST_TEST(result.mRefused > result.mSent / 2);
  BOOST_TEST(result.mInTime + result.mRefused == result.mSent);
  BOOST_TEST(RequestsRun(0) == result.mInTime);
  BOOST_TEST(MostRequests() == 2);
  BOOST_TEST((load::QuantileOf(result.mRefusalTimes, 0.5) < kRefusalTarget));
}

BOOST_FIXTURE_TEST_CASE(endpoint_fails_all_is_left_out_until_it_recovers,
                        FourWorkers)
{
  json::object fault;
  fault["fails_all"] = true;
  mCluster.WorkerFault(0, fault);
  const auto isLeftOut = [&] {
    Ask(0);
    return mCluster.Counter(0, "ejections_total") > 0;
  };
  BOOST_TEST_REQUIRE(WaitUntil(isLeftOut, kWait));
  fault["fails_all"] = false;
  mCluster.WorkerFault(0, fault);
  const auto before = RequestsRun(0);
  const auto isBack = [&] {
    Ask(0);
    return RequestsRun(0) > before + 3;
  };
  BOOST_TEST(WaitUntil(isBack, kWait));
}

BOOST_FIXTURE_TEST_CASE(endpoint_refuses_connections_request_runs_elsewhere,
                        FourWorkers)
{
  json::object fault;
  fault["refuse"] = true;
  mCluster.Fault("worker-1", fault);
  for (int i = 0; i < 40; ++i) {
    BOOST_TEST(Ask(0) == kOk);
  }
}

BOOST_FIXTURE_TEST_CASE(domain_overloaded_spills_and_comes_back, TwoDomains)
{
  // Own slots carry 40 requests a second.
  const auto result = Load(0, "70:4", 100);
  BOOST_TEST(mCluster.Counter(0, "spills_total") > 0);
  BOOST_TEST(RequestsRun(1) > 0);
  BOOST_TEST(result.mUnknown == 0);
  BOOST_TEST(MostRequests() <= 4);
  const auto isBack = [&] {
    const auto before = RequestsRun(1);
    for (int i = 0; i < 20; ++i) {
      Ask(0);
    }
    return RequestsRun(1) == before;
  };
  BOOST_TEST(WaitUntil(isBack, kWait));
}

BOOST_FIXTURE_TEST_CASE(domain_cut_off_goes_on_alone, TwoDomains)
{
  json::object cut;
  cut["cut_to"] = true;
  cut["cut_back"] = true;
  mCluster.Fault("entry-1", cut);
  mCluster.Fault("entry-2", cut);
  mCluster.Fault("platform", cut);
  for (std::size_t entry = 0; entry < 2; ++entry) {
    const auto result = Load(entry, "20:4", 20);
    BOOST_TEST(result.mInTime == result.mSent);
  }
}

BOOST_AUTO_TEST_SUITE_END()

#define BOOST_TEST_MODULE wholepath
#include <boost/test/unit_test.hpp>

#include "cluster.h"
#include "eelgrasspost/base/text.h"

namespace {

using namespace eelgrasspost;
using harness::Cluster;
using harness::WaitUntil;
namespace json = base::json;

constexpr auto kTimeout = base::Milliseconds(10000);

struct ClusterFixture
{
  ClusterFixture() { BOOST_TEST_REQUIRE(mCluster.WaitForOwners()); }

  Cluster mCluster;
};

auto MakeJob(const std::string& aId) -> json::object
{
  json::object job;
  job["id"] = aId;
  job["team"] = "lab";
  job["cpu_millis"] = 500;
  job["memory_mb"] = 100;
  job["command"] = "run_ms=50";
  return job;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(wholepath, ClusterFixture)

BOOST_AUTO_TEST_CASE(request_through_any_entry_is_answered_by_a_worker)
{
  mCluster.ApplyNote(mCluster.MakeServiceNote("quotes", true));
  for (std::size_t i = 0; i < mCluster.mEntries.size(); ++i) {
    const auto id = base::Cat("request-", i);
    const auto exchange = mCluster.CallService(
      i, "quotes/site?work_ms=5", { { "Request-Id", id } });
    BOOST_TEST_REQUIRE(exchange.mStatus.ok());
    BOOST_TEST(exchange.mResponse.mStatus == 200U);
    const auto body = base::ParseObject(exchange.mResponse.mBody);
    BOOST_TEST_REQUIRE(body.ok());
    BOOST_TEST(base::TextField(*body, "request") == id);
  }
}

BOOST_AUTO_TEST_CASE(job_submitted_runs_once_and_is_recorded)
{
  auto& http = mCluster.Http();
  const auto entry = mCluster.mEntries[0].mHttp;
  const auto response = http.Post(entry, "/jobs", MakeJob("calorific-1"));
  BOOST_TEST(base::TextField(response, "job") == "calorific-1");
  const auto hasSucceeded = [&] {
    const auto shown = http.Get(entry, "/jobs/calorific-1");
    return shown.mResponse.mBody.find("\"succeeded\"") != std::string::npos;
  };
  BOOST_TEST(WaitUntil(hasSucceeded, kTimeout));
  std::size_t starts = 0;
  for (std::size_t i = 0; i < mCluster.mWorkers.size(); ++i) {
    const auto observed = mCluster.ReadObservation(i);
    starts += base::ArrayField(observed, "starts")->size();
  }
  BOOST_TEST(starts == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

#define BOOST_TEST_MODULE tablecontract
#include <boost/test/unit_test.hpp>

#include "cluster.h"
#include "eelgrasspost/platform/platformerrors.h"
#include "eelgrasspost/platform/platformmodule.h"
#include "platform/tests/faketable.h"
#include "platform/tests/runtask.h"

namespace {

using namespace eelgrasspost::platform;
using tests::RunTask;
namespace base = eelgrasspost::base;
namespace harness = eelgrasspost::harness;
namespace net = eelgrasspost::net;

auto TestDeadline() -> base::MonotonicTime
{
  return base::MonotonicClock::now() + std::chrono::seconds(10);
}

/** Checks the contract that every implementation of ITable has to fulfil. */
auto CheckContract(ITable& aTable) -> void
{
  const auto commit = [&](std::vector<TableWrite> aWrites) {
    return RunTask(
      aTable.Commit(TableUse::Batch, std::move(aWrites), TestDeadline()));
  };
  const auto versionOf = [&](const std::string& aKey) {
    const auto row =
      RunTask(aTable.Read(TableUse::Batch, aKey, TestDeadline()));
    return *row ? (*row)->mVersion : kAbsent;
  };
  BOOST_TEST(versionOf("t/a") == kAbsent);
  BOOST_TEST(commit({ { "t/a", "1", kAbsent }, { "t/b", "1", kAbsent } }).ok());
  BOOST_TEST(versionOf("t/a") == 1U);
  const auto conflict = commit({ { "t/c", "1", kAbsent }, { "t/a", "2", 7 } });
  BOOST_TEST(base::IsKind(conflict, kVersionConflict));
  BOOST_TEST(versionOf("t/c") == kAbsent);
  BOOST_TEST(commit({ { "t/a", "2", 1 } }).ok());
  BOOST_TEST(commit({ { "t/b", "2", std::nullopt } }).ok());
  BOOST_TEST(versionOf("t/a") == 2U);
  BOOST_TEST(versionOf("t/b") == 2U);
  const auto rows =
    RunTask(aTable.Scan(TableUse::Batch, "t/", "t/a", 10, TestDeadline()));
  BOOST_TEST_REQUIRE(rows.ok());
  BOOST_TEST(rows->size() == 1U);
  BOOST_TEST(rows->front().mKey == "t/b");
  BOOST_TEST(commit({ { "t/a", std::nullopt, 2 } }).ok());
  BOOST_TEST(versionOf("t/a") == kAbsent);
  BOOST_TEST(commit({ { "t/a", "3", kAbsent } }).ok());
}

} // namespace

BOOST_AUTO_TEST_SUITE(tablecontract)

BOOST_AUTO_TEST_CASE(table_in_memory_fulfils_the_contract)
{
  tests::FakeTable table;
  CheckContract(table);
}

BOOST_AUTO_TEST_CASE(table_over_http_fulfils_the_contract)
{
  harness::ClusterOptions options;
  options.mEntriesPerDomain = 0;
  harness::Cluster cluster(options);
  net::HttpClient client(1, {});
  const auto table = MakeHttpTable(client, cluster.Platform());
  CheckContract(*table);
}

BOOST_AUTO_TEST_CASE(table_over_http_unavailable_reports_whether_it_was_reached)
{
  harness::ClusterOptions options;
  options.mEntriesPerDomain = 0;
  harness::Cluster cluster(options);
  net::HttpClient client(1, {});
  const auto table = MakeHttpTable(client, cluster.Platform());
  base::json::object down;
  down["down"] = true;
  cluster.SetPlatformFaults(down);
  const auto failedCommit = RunTask(table->Commit(
    TableUse::Batch, { { "t/a", "1", kAbsent } }, TestDeadline()));
  BOOST_TEST(base::IsKind(failedCommit, kNoResponse));
  const auto unreachable = MakeHttpTable(client, { "127.0.0.1", 1 });
  const auto unsentCommit = RunTask(unreachable->Commit(
    TableUse::Batch, { { "t/a", "1", kAbsent } }, TestDeadline()));
  BOOST_TEST(base::IsKind(unsentCommit, kNotReached));
}

BOOST_AUTO_TEST_SUITE_END()

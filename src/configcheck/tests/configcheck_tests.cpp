#define BOOST_TEST_MODULE configcheck
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "eelgrasspost/configcheck/configcheck.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::configcheck;

/** A configuration without findings. */
struct ConfigurationFixture
{
  dispatch::Configuration mConfiguration;

  ConfigurationFixture()
  {
    mConfiguration.mVersion = 7;
    mConfiguration.mServices = { "desk" };
    mConfiguration.mQueues = { MakeQueue("short", "/short/"),
                               MakeQueue("long", "/long/") };
  }

  static auto MakeQueue(const std::string& aName, const std::string& aPrefix)
    -> cell::Queue
  {
    cell::Queue out;
    out.mName = aName;
    out.mHost = "desk.example";
    out.mPathPrefix = aPrefix;
    out.mService = "desk";
    out.mMaxAttempts = 3;
    out.mStretch = 1.5;
    out.mExtraMs = 250;
    out.mTimeoutMs = 3000;
    return out;
  }

  auto Queue() -> cell::Queue& { return mConfiguration.mQueues[1]; }

  auto Has(FindingKind aKind, const std::string& aSubject) const -> bool
  {
    const auto findings = CheckConfiguration(mConfiguration);
    return std::any_of(
      findings.begin(), findings.end(), [&](const Finding& aFinding) {
        return aFinding.mKind == aKind && aFinding.mSubject == aSubject;
      });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(config_check, ConfigurationFixture)

BOOST_AUTO_TEST_CASE(configuration_without_faults_has_no_findings)
{
  BOOST_CHECK_EQUAL(Render(CheckConfiguration(mConfiguration)), "");
}

BOOST_AUTO_TEST_CASE(missing_and_negative_values_are_errors)
{
  const auto valid = Queue();
  const auto check = [&](const std::function<void(cell::Queue&)>& aBreak) {
    Queue() = valid;
    aBreak(Queue());
    BOOST_CHECK(Has(FindingKind::Error, Queue().mName));
  };
  check([](auto& aQueue) { aQueue.mName.clear(); });
  check([](auto& aQueue) { aQueue.mHost.clear(); });
  check([](auto& aQueue) { aQueue.mService.clear(); });
  check([](auto& aQueue) { aQueue.mService = "unknown"; });
  check([](auto& aQueue) { aQueue.mMaxAttempts = 0; });
  check([](auto& aQueue) { aQueue.mPriority = -1; });
  check([](auto& aQueue) { aQueue.mTimeoutMs = 0; });
  check([](auto& aQueue) { aQueue.mStretch = 0; });
  check([](auto& aQueue) { aQueue.mName = "short"; });
}

BOOST_AUTO_TEST_CASE(queue_hidden_by_an_earlier_one_never_matches)
{
  Queue().mPathPrefix = "/short/";
  Queue().mHost = "DESK.example";
  BOOST_CHECK(Has(FindingKind::NeverMatches, "long"));
  BOOST_CHECK(!Has(FindingKind::NeverMatches, "short"));
}

BOOST_AUTO_TEST_CASE(queue_below_the_prefix_of_another_one_matches)
{
  Queue().mPathPrefix = "/short/deep/";
  BOOST_CHECK(!Has(FindingKind::NeverMatches, "long"));
}

BOOST_AUTO_TEST_CASE(host_with_port_and_prefix_without_slash_never_match)
{
  Queue().mHost = "desk.example:80";
  BOOST_CHECK(Has(FindingKind::NeverMatches, "long"));
  Queue().mHost = "desk.example";
  Queue().mPathPrefix = "long/";
  BOOST_CHECK(Has(FindingKind::NeverMatches, "long"));
}

BOOST_AUTO_TEST_CASE(stretch_below_one_contradicts_the_objective)
{
  Queue().mStretch = 0.5;
  BOOST_CHECK(Has(FindingKind::Contradiction, "long"));
}

BOOST_AUTO_TEST_CASE(advice_that_expires_before_it_arrives_contradicts)
{
  Queue().mAdvice = cell::AdviceTerms{ 100, 2, 100 };
  BOOST_CHECK(Has(FindingKind::Contradiction, "long"));
  Queue().mAdvice->mValidMs = 3000;
  BOOST_CHECK(!Has(FindingKind::Contradiction, "long"));
}

BOOST_AUTO_TEST_CASE(body_limit_below_the_largest_payload_contradicts)
{
  mConfiguration.mBodyLimit = 1000;
  BOOST_CHECK(Has(FindingKind::Contradiction, "limits"));
}

BOOST_AUTO_TEST_CASE(version_that_is_not_higher_is_an_error)
{
  auto next = mConfiguration;
  BOOST_CHECK_EQUAL(CheckSuccession(mConfiguration, next).size(), 1);
  next.mVersion = 8;
  BOOST_CHECK(CheckSuccession(mConfiguration, next).empty());
}

BOOST_AUTO_TEST_CASE(differences_name_queue_field_and_values)
{
  auto next = mConfiguration;
  next.mQueues[0].mTimeoutMs = 5000;
  next.mQueues[1] = MakeQueue("longer", "/longer/");
  BOOST_CHECK_EQUAL(Render(CompareConfigurations(mConfiguration, next)),
                    "removed: long\n"
                    "changed: short: time-out ms: 3000 -> 5000\n"
                    "added: longer\n");
  BOOST_CHECK(CompareConfigurations(next, next).empty());
}

BOOST_AUTO_TEST_SUITE_END()

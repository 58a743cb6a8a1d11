#include <boost/test/unit_test.hpp>

#include "internal/refusals.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;

auto MakeNeed(std::int64_t aCpu, const std::string& aLabel = {}) -> TaskNeed
{
  return { "service", aLabel, { aCpu, 1000, 0 }, 1 };
}

} // namespace

BOOST_AUTO_TEST_SUITE(refusals)

// A cell that refused a task for its label was not asked for other tasks.
BOOST_AUTO_TEST_CASE(refusal_of_a_label_excludes_only_tasks_that_require_it)
{
  const auto now = base::MonotonicClock::now();
  Refusals subject{
    { "a/0", { MakeNeed(2000, "b") }, now + base::Milliseconds(1000) }
  };

  BOOST_TEST(FindRefusingCells(subject, { MakeNeed(2000) }, now).empty());
  BOOST_TEST(FindRefusingCells(subject, { MakeNeed(2000, "c") }, now).empty());
  BOOST_TEST(FindRefusingCells(subject, { MakeNeed(1000, "b") }, now).empty());
  BOOST_TEST(
    FindRefusingCells(subject, { MakeNeed(3000, "b") }, now).contains("a/0"));
}

BOOST_AUTO_TEST_CASE(refusal_without_a_label_excludes_larger_tasks_of_any_label)
{
  const auto now = base::MonotonicClock::now();
  Refusals subject{
    { "a/0", { MakeNeed(2000) }, now + base::Milliseconds(1000) }
  };

  BOOST_TEST(
    FindRefusingCells(subject, { MakeNeed(2000, "b") }, now).contains("a/0"));
}

BOOST_AUTO_TEST_CASE(refusal_of_several_steps_excludes_only_jobs_with_all)
{
  const auto now = base::MonotonicClock::now();
  Refusals subject{ { "a/0",
                      { MakeNeed(2000, "b"), MakeNeed(4000) },
                      now + base::Milliseconds(1000) } };

  BOOST_TEST(FindRefusingCells(subject, { MakeNeed(2000, "b") }, now).empty());
  BOOST_TEST(
    FindRefusingCells(subject, { MakeNeed(5000), MakeNeed(2000, "b") }, now)
      .contains("a/0"));
}

BOOST_AUTO_TEST_CASE(refusal_lapses)
{
  const auto now = base::MonotonicClock::now();
  Refusals subject{ { "a/0", { MakeNeed(2000) }, now } };

  BOOST_TEST(FindRefusingCells(subject, { MakeNeed(2000) }, now).empty());
  BOOST_TEST(subject.empty());
}

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>

#include "eelgrasspost/placement/waitorder.h"

namespace {

using namespace eelgrasspost::placement;
using eelgrasspost::base::Milliseconds;

struct ClassCase
{
  Milliseconds mUsed;
  Milliseconds mDeclared;
  WorkClass mExpected;
};

auto MakeTask(std::uint64_t aSequence, Milliseconds aUsed) -> WaitingTask
{
  WaitingTask out;
  out.mTask = std::to_string(aSequence);
  out.mSequence = aSequence;
  out.mUsed = aUsed;
  return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(waitorder)

BOOST_AUTO_TEST_CASE(class_depends_on_used_time_and_reliable_declarations)
{
  const auto policy = ClassPolicy{};
  const auto limit = policy.mShortLimit;
  const auto cases = {
    ClassCase{ Milliseconds(0), Milliseconds(0), WorkClass::Short },
    ClassCase{ Milliseconds(0), limit * 10, WorkClass::Short },
    ClassCase{ Milliseconds(0), limit * 11, WorkClass::Long },
    ClassCase{ limit, Milliseconds(1), WorkClass::Long },
    ClassCase{ limit - Milliseconds(1), Milliseconds(1), WorkClass::Short },
  };
  for (const auto& it : cases) {
    BOOST_TEST((ClassOf(it.mUsed, it.mDeclared, policy) == it.mExpected));
  }
}

BOOST_AUTO_TEST_CASE(order_short_task_precedes_long_and_urgent_precedes_all)
{
  const auto policy = ClassPolicy{};
  const auto longTask = MakeTask(1, policy.mShortLimit * 2);
  const auto shortTask = MakeTask(2, Milliseconds(0));
  auto urgentTask = MakeTask(3, policy.mShortLimit * 2);
  urgentTask.mUrgent = true;
  BOOST_TEST((KeyOf(shortTask, policy) < KeyOf(longTask, policy)));
  BOOST_TEST((KeyOf(urgentTask, policy) < KeyOf(shortTask, policy)));
}

BOOST_AUTO_TEST_CASE(order_fifo_baseline_keeps_submission_order_without_reserve)
{
  auto policy = ClassPolicy{};
  policy.mOrder = OrderPolicy::FirstInFirstOut;
  const auto longTask = MakeTask(1, policy.mShortLimit * 2);
  const auto shortTask = MakeTask(2, Milliseconds(0));
  BOOST_TEST((KeyOf(longTask, policy) < KeyOf(shortTask, policy)));
  BOOST_TEST((ShortReserve({ 16000, 60000, 2 }, policy) == Resources{}));
}

BOOST_AUTO_TEST_SUITE_END()

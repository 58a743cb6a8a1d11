#include <boost/test/unit_test.hpp>

#include <random>

#include "internal/admission.h"
#include "internal/waitqueue.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::routing;

const auto kNow = base::MonotonicTime(std::chrono::seconds(100));
constexpr auto kServiceTime = base::Microseconds(100'000);

struct AdmissionCase
{
  const char* mName;
  QueueStatus mStatus;
  base::Milliseconds mDeadline;
  Refusal mExpected;
};

const auto kAdmissionCases = std::array{
  AdmissionCase{ "no worker",
                 { 0, 0, 64, 0, kServiceTime },
                 base::Milliseconds(1000),
                 Refusal::NoWorker },
  AdmissionCase{ "queue empty",
                 { 0, 0, 64, 8, kServiceTime },
                 base::Milliseconds(1000),
                 Refusal::None },
  AdmissionCase{ "half as many waiters as slots",
                 { 0, 4, 64, 8, kServiceTime },
                 base::Milliseconds(1000),
                 Refusal::QueueFull },
  AdmissionCase{ "limit of the service reached",
                 { 0, 2, 2, 8, kServiceTime },
                 base::Milliseconds(1000),
                 Refusal::QueueFull },
  AdmissionCase{ "slot expected just in time",
                 { 3, 3, 64, 8, kServiceTime },
                 base::Milliseconds(150),
                 Refusal::None },
  AdmissionCase{ "slot expected too late",
                 { 3, 3, 64, 8, kServiceTime },
                 base::Milliseconds(149),
                 Refusal::TooLate },
  AdmissionCase{ "no service time measured yet",
                 { 3, 3, 64, 8, base::Microseconds(0) },
                 base::Milliseconds(1),
                 Refusal::None },
};

} // namespace

BOOST_AUTO_TEST_SUITE(admission)

BOOST_AUTO_TEST_CASE(admit_each_case_returns_expected_refusal)
{
  for (const auto& it : kAdmissionCases) {
    BOOST_TEST_CONTEXT(it.mName)
    {
      const auto refusal = Admit(it.mStatus, kNow, kNow + it.mDeadline);
      BOOST_TEST((refusal == it.mExpected));
    }
  }
}

BOOST_AUTO_TEST_CASE(waitqueue_random_deadlines_pops_earliest_first)
{
  auto random = std::mt19937(3);
  for (int round = 0; round < 200; ++round) {
    WaitQueue<int> queue;
    std::vector<std::pair<base::MonotonicTime, int>> pushed;
    std::vector<WaitKey> keys;
    for (int i = 0; i < 30; ++i) {
      const auto deadline = kNow + base::Milliseconds(random() % 10);
      keys.push_back(queue.Push(deadline, i));
      pushed.emplace_back(deadline, i);
    }
    const auto removed = random() % pushed.size();
    BOOST_TEST_REQUIRE(queue.Remove(keys[removed]));
    BOOST_TEST_REQUIRE(!queue.Remove(keys[removed]));
    pushed.erase(pushed.begin() + static_cast<std::ptrdiff_t>(removed));
    std::ranges::sort(pushed);
    for (std::size_t i = 0; i < pushed.size(); ++i) {
      BOOST_TEST_REQUIRE(queue.CountAhead(pushed[i].first) > 0);
      BOOST_TEST_REQUIRE(*queue.Pop() == pushed[i].second);
    }
    BOOST_TEST_REQUIRE(!queue.Pop().has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()

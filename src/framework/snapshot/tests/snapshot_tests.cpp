#define BOOST_TEST_MODULE snapshot
#include <boost/test/unit_test.hpp>

#include <thread>
#include <vector>

#include "eelgrasspost/snapshot/snapshot.h"

namespace {

using eelgrasspost::snapshot::Snapshot;

struct Pair
{
  int mFirst;
  int mSecond;
};

} // namespace

BOOST_AUTO_TEST_CASE(snapshot_concurrent_publish_reads_consistent_values)
{
  auto snapshot = Snapshot<Pair>(std::make_shared<const Pair>(Pair{ 0, 0 }));
  constexpr int kRounds = 500;
  std::atomic<bool> isTorn{ false };
  std::vector<std::jthread> readers;
  readers.reserve(3);
  for (int n = 0; n < 3; ++n) {
    readers.emplace_back([&](const std::stop_token& aStop) {
      while (!aStop.stop_requested()) {
        const auto it = snapshot.Read();
        if (it->mFirst != it->mSecond) {
          isTorn = true;
        }
      }
    });
  }
  for (int i = 1; i <= kRounds; ++i) {
    snapshot.Publish(std::make_shared<const Pair>(Pair{ i, i }));
  }
  readers.clear();
  BOOST_TEST(!isTorn);
  BOOST_TEST(snapshot.Read()->mFirst == kRounds);
}

// Measures the cost of a placement decision at four cluster sizes, half full
// and nearly full.

#include <array>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <random>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/placement/placementindex.h"

namespace {

using namespace eelgrasspost::placement;
using Clock = std::chrono::steady_clock;

constexpr unsigned kSeed = 5;
constexpr std::uint64_t kDecisions = 50000;
constexpr auto kSizes = std::array{ 65, 650, 6500, 20000 };
constexpr auto kWorker = Resources{ 16000, 60000, 0 };

struct BenchResult
{
  double mMicroseconds = 0;
  std::uint64_t mPlaced = 0;
};

auto RandomDemand(std::mt19937_64& aRandom) -> PlacementDemand
{
  PlacementDemand out;
  out.mResources = { static_cast<std::int64_t>(aRandom() % 4000 + 100),
                     static_cast<std::int64_t>(aRandom() % 8000 + 100),
                     0 };
  out.mClass = aRandom() % 4 == 0 ? WorkClass::Long : WorkClass::Short;
  return out;
}

auto MakeIndex(int aWorkers, int aFreePercent, std::mt19937_64& aRandom)
  -> PlacementIndex
{
  PlacementIndex out;
  for (int i = 0; i < aWorkers; ++i) {
    const auto spread = static_cast<std::int64_t>(aRandom() % 100);
    const auto percent =
      std::min<std::int64_t>(100, aFreePercent * spread / 50);
    const auto capacity =
      WorkerCapacity{ "w" + std::to_string(i),
                      "rack-" + std::to_string(i / 8),
                      "domain-" + std::to_string(i % 10),
                      { kWorker.mCpuMillis * percent / 100,
                        kWorker.mMemoryMb * percent / 100,
                        0 },
                      { kWorker.mCpuMillis / 4, kWorker.mMemoryMb / 4, 0 },
                      true };
    out.Set(capacity);
  }
  return out;
}

/** Places tasks and releases them at once, so that the free capacity stays the
 * same. */
auto Measure(int aWorkers, int aFreePercent) -> BenchResult
{
  std::mt19937_64 random(kSeed);
  auto index = MakeIndex(aWorkers, aFreePercent, random);
  BenchResult out;
  const auto start = Clock::now();
  for (std::uint64_t i = 0; i < kDecisions; ++i) {
    const auto demand = RandomDemand(random);
    const auto worker = index.Choose(demand, i);
    if (worker) {
      ++out.mPlaced;
      index.Allocate(*worker, demand.mResources);
      index.Allocate(*worker, Resources{} - demand.mResources);
    }
  }
  const auto elapsed =
    std::chrono::duration<double, std::micro>(Clock::now() - start);
  out.mMicroseconds = elapsed.count() / static_cast<double>(kDecisions);
  return out;
}

} // namespace

auto main() -> int
{
  std::cout << "workers  free%  placed%  us/decision  ratio to 65\n";
  for (const auto freePercent : { 50, 10 }) {
    const auto base = Measure(kSizes.front(), freePercent).mMicroseconds;
    for (const auto workers : kSizes) {
      const auto result = Measure(workers, freePercent);
      std::cout << fmt::format("{:7}  {:5}  {:7.1f}  {:11.2f}  {:11.2f}\n",
                               workers,
                               freePercent,
                               100.0 * static_cast<double>(result.mPlaced) /
                                 static_cast<double>(kDecisions),
                               result.mMicroseconds,
                               result.mMicroseconds / base);
    }
  }
  return 0;
}

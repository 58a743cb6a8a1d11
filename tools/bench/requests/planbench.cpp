/**
 * Measures building a routing plan of the target size and finding a service in
 * it: 100,000 endpoints of 100 services on 20,000 workers that 300 entries own.
 * Asserts nothing.
 */

#include <chrono>
#include <iostream>

#include "eelgrasspost/base/text.h"
#include "internal/routingplan.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::routing;

constexpr int kEntries = 300;
constexpr int kWorkers = 20'000;
constexpr int kServices = 100;
constexpr int kEndpointsPerService = 1000;

auto MakeInputs() -> PlanInputs
{
  auto members = std::make_shared<membership::MemberView>();
  for (int i = 0; i < kEntries; ++i) {
    membership::Member member;
    member.mIdentity.mId = base::Cat("entry-", i);
    member.mIdentity.mFailureDomain = base::Cat("domain-", i % 10);
    members->mMembers.push_back(std::move(member));
  }
  auto ownership = std::make_shared<ownership::OwnershipView>();
  for (int i = 0; i < kWorkers; ++i) {
    platform::VmRecord worker;
    worker.mId = base::Cat("worker-", i);
    worker.mSlots = 8;
    const auto owner = i % kEntries;
    ownership->mAssignments.push_back({ worker, base::Cat("entry-", owner) });
    if (owner == 0) {
      ownership->mLeases.push_back(std::make_shared<ownership::WorkerLease>(
        worker, platform::FencingToken{ 1, "entry-0" }, "1", 0));
    }
  }
  auto notes = std::make_shared<releasenote::ReleaseState>();
  for (int i = 0; i < kServices; ++i) {
    releasenote::ServiceSpec service;
    service.mName = base::Cat("service-", i);
    for (int n = 0; n < kEndpointsPerService; ++n) {
      const auto worker = (i * kEndpointsPerService + n) % kWorkers;
      service.mEndpoints.push_back({ base::Cat("worker-", worker), {} });
    }
    notes->mServices.Put(std::move(service));
  }
  return { notes, ownership, members };
}

template<typename Function>
auto MeanMicroseconds(int aRounds, const Function& aFunction) -> double
{
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < aRounds; ++i) {
    aFunction(i);
  }
  const auto elapsed = std::chrono::steady_clock::now() - start;
  return std::chrono::duration<double, std::micro>(elapsed).count() / aRounds;
}

} // namespace

auto main() -> int
{
  const auto inputs = MakeInputs();
  const auto self = inputs.mMembers->mMembers[0].mIdentity;
  base::Metrics metrics;
  RoutingStates states;
  auto plan = BuildPlan(inputs, self, states, metrics);
  const auto build = MeanMicroseconds(
    20, [&](int) { plan = BuildPlan(inputs, self, states, metrics); });
  auto other = inputs;
  other.mOwnership =
    std::make_shared<ownership::OwnershipView>(*inputs.mOwnership);
  std::size_t sameCount = 0;
  const auto compare = MeanMicroseconds(
    100, [&](int) { sameCount += GivesSamePlan(inputs, other) ? 1U : 0U; });
  std::vector<std::string> names;
  for (const auto& it : inputs.mNotes->mServices) {
    names.push_back(it.mName);
  }
  std::size_t foundCount = 0;
  const auto find = MeanMicroseconds(1'000'000, [&](int aRound) {
    const auto& name = names[static_cast<std::size_t>(aRound) % names.size()];
    foundCount += plan->FindService(name) ? 1U : 0U;
  });
  fmt::print("build {:.0f} us, compare with equal inputs {:.0f} us, find a "
             "service {:.3f} us ({} {})\n",
             build,
             compare,
             find,
             sameCount,
             foundCount);
  return 0;
}

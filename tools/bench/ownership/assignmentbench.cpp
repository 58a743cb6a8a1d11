// Measures the time of one assignment of workers to entries at several cluster
// sizes.
#include <chrono>
#include <iostream>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/ownership/assignment.h"

namespace {

using namespace eelgrasspost;

struct Size
{
  int mWorkers;
  int mEntries;
  int mDomains;
};

auto Measure(const Size& aSize) -> void
{
  std::vector<platform::VmRecord> workers;
  for (int i = 0; i < aSize.mWorkers; ++i) {
    platform::VmRecord worker;
    worker.mId = base::Cat("worker-", i);
    worker.mFailureDomain = base::Cat("domain-", i % aSize.mDomains);
    workers.push_back(std::move(worker));
  }
  membership::MemberView view;
  for (int i = 0; i < aSize.mEntries; ++i) {
    membership::Member member;
    member.mIdentity.mId = base::Cat("entry-", i);
    member.mIdentity.mFailureDomain = base::Cat("domain-", i % aSize.mDomains);
    view.mMembers.push_back(std::move(member));
  }
  constexpr int kRounds = 20;
  const auto start = base::MonotonicClock::now();
  for (int i = 0; i < kRounds; ++i) {
    ownership::AssignWorkers(workers, view);
  }
  const auto elapsed = base::MonotonicClock::now() - start;
  const auto us = std::chrono::duration_cast<base::Microseconds>(elapsed);
  std::cout << aSize.mWorkers << " workers, " << aSize.mEntries << " entries, "
            << aSize.mDomains << " domains: " << us.count() / kRounds
            << " us\n";
}

} // namespace

auto main() -> int
{
  constexpr Size kSizes[] = { { 65, 8, 3 },
                              { 650, 30, 3 },
                              { 20000, 300, 10 } };
  for (const auto& it : kSizes) {
    Measure(it);
  }
  return 0;
}

#include "joblength.h"

#include <algorithm>

namespace eelgrasspost::cell {

auto CriticalPathMs(const JobSpec& aSpec,
                    const std::vector<std::uint32_t>& aTasks) -> double
{
  std::vector<double> ends(aSpec.mSteps.size(), 0.0);
  auto out = 0.0;
  for (std::size_t i = 0; i < aSpec.mSteps.size(); ++i) {
    auto start = 0.0;
    for (const auto before : aSpec.mSteps[i].mAfter) {
      start = before < i ? std::max(start, ends[before]) : start;
    }
    const auto estimated =
      aTasks[i] > 0 ? static_cast<double>(aSpec.mSteps[i].mEstimatedMs) : 0.0;
    ends[i] = start + estimated;
    out = std::max(out, ends[i]);
  }
  return out;
}

auto CriticalPathMs(const JobSpec& aSpec) -> double
{
  std::vector<std::uint32_t> all;
  all.reserve(aSpec.mSteps.size());
  for (const auto& it : aSpec.mSteps) {
    all.push_back(it.mCount);
  }
  return CriticalPathMs(aSpec, all);
}

auto ObjectiveMs(const JobSpec& aSpec, const Queue& aQueue) -> double
{
  return aQueue.mStretch * CriticalPathMs(aSpec) +
         static_cast<double>(aQueue.mExtraMs);
}

} // namespace eelgrasspost::cell

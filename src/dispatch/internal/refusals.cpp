#include "refusals.h"

#include <algorithm>

namespace eelgrasspost::dispatch {

namespace {

/** Whether a cell that cannot satisfy aLess cannot satisfy aNeed either. */
auto NeedsAtLeast(const TaskNeed& aNeed, const TaskNeed& aLess) -> bool
{
  const auto& needed = aNeed.mResources;
  const auto& less = aLess.mResources;
  return aNeed.mService == aLess.mService &&
         (aLess.mRequiredLabel.empty() ||
          aNeed.mRequiredLabel == aLess.mRequiredLabel) &&
         needed.mCpuMillis >= less.mCpuMillis &&
         needed.mMemoryMb >= less.mMemoryMb &&
         needed.mAccelerators >= less.mAccelerators &&
         aNeed.mTogether >= aLess.mTogether;
}

} // namespace

auto NeedOf(const cell::LongRunningNeed& aNeed) -> TaskNeed
{
  return { aNeed.mService, aNeed.mRequiredLabel, aNeed.mResources, 1 };
}

auto NeedsOf(const cell::StoredJob& aJob,
             const std::vector<cell::WaitingStep>& aSteps)
  -> std::vector<TaskNeed>
{
  std::vector<TaskNeed> out;
  out.reserve(aSteps.size());
  for (const auto& it : aSteps) {
    const auto& step = aJob.mSpec.mSteps.at(it.mStep);
    out.push_back({ aJob.mQueue.mService,
                    step.mRequiredLabel,
                    step.mNeed,
                    step.mIsGang ? step.mCount : 1 });
  }
  return out;
}

auto FindRefusingCells(Refusals& aRefusals,
                       const std::vector<TaskNeed>& aNeeds,
                       MonotonicTime aNow) -> std::set<std::string>
{
  std::erase_if(aRefusals,
                [&](const Refusal& aItem) { return aItem.mUntil <= aNow; });
  const auto isAlsoNeeded = [&](const TaskNeed& aRefused) {
    return std::any_of(
      aNeeds.begin(), aNeeds.end(), [&](const TaskNeed& aNeed) {
        return NeedsAtLeast(aNeed, aRefused);
      });
  };
  std::set<std::string> out;
  for (const auto& it : aRefusals) {
    if (std::all_of(it.mNeeds.begin(), it.mNeeds.end(), isAlsoNeeded)) {
      out.insert(it.mCell);
    }
  }
  return out;
}

} // namespace eelgrasspost::dispatch

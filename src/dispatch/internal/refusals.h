#pragma once

#include <set>
#include <string>
#include <vector>

#include "eelgrasspost/cell/celltypes.h"

namespace eelgrasspost::dispatch {

using base::MonotonicTime;

/** What some tasks need of a cell. */
struct TaskNeed
{
  std::string mService;
  /** Empty if any worker suits. */
  std::string mRequiredLabel;
  cell::Resources mResources;
  /** Tasks that are placed together; 1 except for gangs. */
  std::uint32_t mTogether = 1;
};

auto NeedOf(const cell::LongRunningNeed& aNeed) -> TaskNeed;
/** The needs of the waiting steps of a job. */
auto NeedsOf(const cell::StoredJob& aJob,
             const std::vector<cell::WaitingStep>& aSteps)
  -> std::vector<TaskNeed>;

/** A cell that refused work. */
struct Refusal
{
  std::string mCell;
  std::vector<TaskNeed> mNeeds;
  /** The cell is asked again from then on. */
  MonotonicTime mUntil{};
};
using Refusals = std::vector<Refusal>;

/** The cells that refused work which needs no more than the given needs. */
auto FindRefusingCells(Refusals& aRefusals,
                       const std::vector<TaskNeed>& aNeeds,
                       MonotonicTime aNow) -> std::set<std::string>;

} // namespace eelgrasspost::dispatch

#include "eelgrasspost/cell/evacuation.h"

#include <algorithm>

#include "cellinternal.h"

namespace eelgrasspost::cell {

auto IsEvacuated(const CellState& aCell, const Worker& aWorker) -> bool
{
  return !aCell.mEvacuatedDomains.empty() &&
         aCell.mEvacuatedDomains.contains(aWorker.mRecord.mDomain);
}

auto SetEvacuatedDomains(CellState& aCell, DomainSet aDomains) -> void
{
  const auto isNew = aCell.mEvacuatedDomains.empty() && !aDomains.empty();
  aCell.mEvacuatedDomains = std::move(aDomains);
  if (isNew) {
    aCell.mHeldBackStarts = 0;
    for (auto* it : aCell.mReady) {
      it->mIsHeldBack = false;
    }
  }
  for (auto& [id, it] : aCell.mWorkers) {
    if (IsEvacuated(aCell, *it)) {
      it->mReservations.clear();
    }
  }
  // Tasks may have become startable.
  aCell.mHasNewReady = true;
}

auto IsClosed(const CellState& aCell) -> bool
{
  const auto& workers = aCell.mWorkers;
  return std::any_of(workers.begin(),
                     workers.end(),
                     [&](const auto& aItem) {
                       return IsEvacuated(aCell, *aItem.second);
                     }) &&
         std::none_of(workers.begin(), workers.end(), [&](const auto& aItem) {
           return MayServe(aCell, *aItem.second);
         });
}

auto SummarizeEvacuation(const CellState& aCell) -> EvacuationSummary
{
  EvacuationSummary out;
  for (const auto& [id, it] : aCell.mWorkers) {
    if (IsEvacuated(aCell, *it)) {
      ++out.mWorkers;
      out.mRuns += it->mRuns.size();
    }
  }
  out.mWaitingTasks = aCell.mReady.size();
  out.mHeldBackStarts = aCell.mHeldBackStarts;
  return out;
}

auto NoteHeldBack(CellState& aCell, Task& aTask) -> void
{
  if (!aCell.mEvacuatedDomains.empty() && !aTask.mIsHeldBack) {
    aTask.mIsHeldBack = true;
    ++aCell.mHeldBackStarts;
  }
}

} // namespace eelgrasspost::cell

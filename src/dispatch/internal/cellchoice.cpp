#include "cellchoice.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "claiming.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/cell/evacuation.h"
#include "eelgrasspost/cell/room.h"

namespace eelgrasspost::dispatch {

namespace {

/** CPU reserved by the most demanding step of a job. */
auto MaxStepCpuMillis(const cell::JobSpec& aJob) -> std::int64_t
{
  std::int64_t out = 0;
  for (const auto& it : aJob.mSteps) {
    if (!it.mIsBestEffort) {
      out = std::max(out, it.mNeed.mCpuMillis * it.mCount);
    }
  }
  return out;
}

auto Ratio(std::int64_t aPart, std::int64_t aWhole) -> double
{
  return static_cast<double>(aPart) /
         static_cast<double>(std::max<std::int64_t>(1, aWhole));
}

/** Difference in free capacity that other entries may not have reported yet. */
constexpr double kJitterWeight = 0.05;

/** Pseudorandom number from 0 to 1 that depends on job and cell. */
auto JitterOf(const std::string& aJob, const std::string& aCell) -> double
{
  constexpr std::uint64_t kSteps = 1000;
  return static_cast<double>(HashOf(base::Cat(aJob, "/", aCell)) % kSteps) /
         static_cast<double>(kSteps);
}

/** The number of tasks with the given need that a cell could start at once; one
 * where only its largest piece of free CPU shows that there is room. */
auto CountStartable(const CellStatus& aCell, std::int64_t aCpuMillis)
  -> std::uint32_t
{
  const std::uint32_t n = cell::CountStartable(aCell.mStartable, aCpuMillis);
  return std::max(n, aCell.mLargestCpuMillis >= aCpuMillis ? 1U : 0U);
}

auto IsShortReserving(const cell::StepSpec& aStep) -> bool
{
  return !aStep.mIsBestEffort && !aStep.mIsLongRunning;
}

auto HasShortReservingTasks(const cell::JobSpec& aJob) -> bool
{
  return std::any_of(aJob.mSteps.begin(), aJob.mSteps.end(), IsShortReserving);
}

} // namespace

auto IsInDomain(const std::string& aCell, const std::string& aDomain) -> bool
{
  return aCell.size() > aDomain.size() && aCell.starts_with(aDomain) &&
         aCell[aDomain.size()] == '/';
}

auto MakeCellStatus(const cell::CellState& aCell, base::MonotonicTime aNow)
  -> CellStatus
{
  const auto room = cell::RoomOf(aCell, aNow);
  CellStatus out;
  out.mName = aCell.mName;
  out.mIsClosed = cell::IsClosed(aCell);
  out.mFreeCpuMillis = room.mFree.mCpuMillis;
  out.mFreeMemoryMb = room.mFree.mMemoryMb;
  out.mCapacityCpuMillis = room.mCapacityCpuMillis;
  out.mBestEffortCpuMillis = room.mBestEffortCpuMillis;
  out.mLeftoverCpuMillis = room.mLeftoverCpuMillis;
  out.mWaitingCpuMillis = room.mWaitingCpuMillis;
  out.mLargestCpuMillis = room.mLargestCpuMillis;
  out.mLargestForRestartCpuMillis = room.mLargestForRestartCpuMillis;
  out.mLargestReservableCpuMillis = room.mLargestReservableCpuMillis;
  out.mStartable = room.mStartable;
  return out;
}

auto StartableShare(const CellStatus& aCell, const cell::JobSpec& aJob)
  -> double
{
  auto tasks = 0.0;
  auto startable = 0.0;
  for (const auto& it : aJob.mSteps) {
    if (it.mAfter.empty() && IsShortReserving(it)) {
      tasks += it.mCount;
      startable +=
        std::min<double>(it.mCount, CountStartable(aCell, it.mNeed.mCpuMillis));
    }
  }
  return tasks > 0 ? startable / tasks : 1.0;
}

namespace {

/** Higher is better. Prefers cells that can start many of the job's first tasks
 * at once, then those with a large share of free capacity. */
auto RankOf(const CellStatus& aCell,
            const cell::JobSpec& aJob,
            const std::string& aDomain) -> double
{
  const auto need = MaxStepCpuMillis(aJob);
  const auto share =
    need > 0
      ? Ratio(aCell.mFreeCpuMillis - need, aCell.mCapacityCpuMillis)
      : 1.0 - Ratio(aCell.mBestEffortCpuMillis, aCell.mLeftoverCpuMillis);
  // A cell of the same domain saves cross-domain messages, which cost a short
  // job less than a wait for capacity. A long-running job gets no such bonus,
  // as the interference that it causes lasts as long as the job.
  constexpr double kSameDomainBonus = 0.02;
  constexpr double kBestEffortSameDomainBonus = 0.1;
  const auto isBestEffort = need == 0;
  const auto hasBonus =
    !cell::IsLongRunning(aJob) && share > 0 && IsInDomain(aCell.mName, aDomain);
  const auto bonus = !hasBonus      ? 0.0
                     : isBestEffort ? kBestEffortSameDomainBonus
                                    : kSameDomainBonus;
  // Spreads jobs that arrive before the next status reports.
  const auto jitter =
    isBestEffort ? 0.0 : JitterOf(aJob.mId, aCell.mName) * kJitterWeight;
  return StartableShare(aCell, aJob) + share + jitter + bonus;
}

/** Number of cells that are asked whether they can start a job at once. */
constexpr std::size_t kMaxOffersAtOnce = 4;

} // namespace

auto PlanOffers(const std::vector<CellStatus>& aCells,
                const cell::JobSpec& aJob,
                const std::string& aDomain) -> std::vector<Offer>
{
  std::vector<std::pair<std::tuple<bool, double>, const CellStatus*>> order;
  order.reserve(aCells.size());
  for (const auto& it : aCells) {
    if (it.mIsClosed) {
      continue;
    }
    order.emplace_back(std::tuple(!it.mIsActive, -RankOf(it, aJob, aDomain)),
                       &it);
  }
  std::sort(order.begin(), order.end());
  std::vector<Offer> out;
  if (HasShortReservingTasks(aJob)) {
    for (const auto& [rank, it] : order) {
      if (out.size() < kMaxOffersAtOnce && it->mIsActive &&
          StartableShare(*it, aJob) >= 1) {
        out.push_back({ it->mName, true });
      }
    }
  }
  for (const auto& [rank, it] : order) {
    out.push_back({ it->mName, false });
  }
  return out;
}

auto AreAllClosed(const std::vector<CellStatus>& aCells) -> bool
{
  return !aCells.empty() &&
         std::all_of(aCells.begin(), aCells.end(), [](const auto& aCell) {
           return aCell.mIsClosed;
         });
}

auto IsMigrationDue(const cell::MigratableJob& aJob) -> bool
{
  return !aJob.mCanRunHere ||
         aJob.mWaited > (aJob.mReservingTasks > 0 ? kMigrationDelay
                                                  : kBestEffortMigrationDelay);
}

auto ChooseCellWithCapacity(const std::vector<CellStatus>& aCells,
                            const std::string& aFrom,
                            const cell::MigratableJob& aJob)
  -> std::optional<std::string>
{
  std::optional<std::string> out;
  std::int64_t mostCapacity = 0;
  for (const auto& it : aCells) {
    if (it.mName == aFrom || !it.mIsActive || it.mIsClosed ||
        aJob.mExcludedCells.contains(it.mName)) {
      continue;
    }
    const auto left = it.mLeftoverCpuMillis - it.mBestEffortCpuMillis -
                      aJob.mBestEffortCpuMillis;
    const auto isReserving = aJob.mReservingTasks > 0;
    const auto hasRoom =
      isReserving
        ? CountStartable(it, aJob.mLargestTaskCpuMillis) >= aJob.mReservingTasks
        : it.mWaitingCpuMillis == 0;
    const auto capacity = isReserving ? it.mFreeCpuMillis : left;
    // A job without suitable workers in its own cell waits elsewhere for them.
    const auto mayTake = !aJob.mCanRunHere || (hasRoom && left >= 0);
    if (mayTake && (!out || capacity > mostCapacity)) {
      out = it.mName;
      mostCapacity = capacity;
    }
  }
  return out;
}

auto ChooseEmptierCell(const std::vector<CellStatus>& aCells,
                       const std::string& aFrom,
                       const cell::MigratableJob& aJob)
  -> std::optional<std::string>
{
  // A smaller difference does not justify a transaction.
  constexpr double kMinGain = 0.03;
  const auto freeShare = [](const CellStatus& aCell, std::int64_t aLess) {
    const auto capacity = std::max<std::int64_t>(1, aCell.mCapacityCpuMillis);
    return static_cast<double>(aCell.mFreeCpuMillis - aLess) /
           static_cast<double>(capacity);
  };
  std::optional<std::string> out;
  auto own = 0.0;
  auto best = 0.0;
  for (const auto& it : aCells) {
    if (it.mName == aFrom) {
      own = freeShare(it, 0);
    } else if (it.mIsActive && !it.mIsClosed &&
               !aJob.mExcludedCells.contains(it.mName)) {
      const auto share = freeShare(it, aJob.mReservingCpuMillis);
      if (!out || share > best) {
        out = it.mName;
        best = share;
      }
    }
  }
  const auto isGain = best > own + kMinGain || !aJob.mCanRunHere;
  if (!out || !isGain) {
    return std::nullopt;
  }
  return out;
}

} // namespace eelgrasspost::dispatch

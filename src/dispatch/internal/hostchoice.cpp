#include "hostchoice.h"

#include <algorithm>
#include <tuple>

namespace eelgrasspost::dispatch {

auto ChooseHostCell(const std::vector<CellStatus>& aCells,
                    const std::string& aFrom,
                    const HostQuery& aQuery) -> std::optional<std::string>
{
  const CellStatus* best = nullptr;
  const auto hasRoomNow = [&](const CellStatus& aCell) {
    const auto largest =
      aQuery.mIsRestart
        ? std::max(aCell.mLargestCpuMillis, aCell.mLargestForRestartCpuMillis)
        : aCell.mLargestCpuMillis;
    return largest >= aQuery.mNeed.mCpuMillis &&
           !aQuery.mExcluded.contains(aCell.mName);
  };
  const auto hasRoomLater = [&](const CellStatus& aCell) {
    return aQuery.mMayWait &&
           aCell.mLargestReservableCpuMillis >= aQuery.mNeed.mCpuMillis &&
           !aQuery.mExcludedIfWaiting.contains(aCell.mName);
  };
  const auto rank = [&](const CellStatus& aCell) {
    return std::tuple(hasRoomNow(aCell),
                      aCell.mLargestCpuMillis >= aQuery.mNeed.mCpuMillis,
                      aCell.mFreeCpuMillis);
  };
  for (const auto& it : aCells) {
    const auto canHost =
      it.mName != aFrom && it.mIsActive && (hasRoomNow(it) || hasRoomLater(it));
    if (canHost && (!best || rank(it) > rank(*best))) {
      best = &it;
    }
  }
  return best ? std::optional(best->mName) : std::nullopt;
}

} // namespace eelgrasspost::dispatch

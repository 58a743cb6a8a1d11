#include "hostchoice.h"

#include <utility>

namespace eelgrasspost::dispatch {

auto ChooseHostCell(const std::vector<CellStatus>& aCells,
                    const std::string& aFrom,
                    const HostQuery& aQuery) -> std::optional<std::string>
{
  const CellStatus* best = nullptr;
  const auto rank = [&](const CellStatus& aCell) {
    return std::pair(aCell.mLargestCpuMillis >= aQuery.mNeed.mCpuMillis,
                     aCell.mFreeCpuMillis);
  };
  for (const auto& it : aCells) {
    const auto largest =
      aQuery.mMayWait ? it.mLargestReservableCpuMillis : it.mLargestCpuMillis;
    const auto canHost = it.mName != aFrom && it.mIsActive &&
                         !aQuery.mExcluded.contains(it.mName) &&
                         largest >= aQuery.mNeed.mCpuMillis;
    if (canHost && (!best || rank(it) > rank(*best))) {
      best = &it;
    }
  }
  return best ? std::optional(best->mName) : std::nullopt;
}

} // namespace eelgrasspost::dispatch

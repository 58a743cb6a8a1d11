#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "eelgrasspost/dispatch/dispatchtypes.h"

namespace eelgrasspost::dispatch {

/** Which cells may host a long-running task of another cell. */
struct HostQuery
{
  cell::Resources mNeed;
  /** Cells that are not considered. */
  std::set<std::string> mExcluded;
  /** Also cells that have capacity only after short tasks have ended. */
  bool mMayWait = false;
};

/** The cell that should host a long-running task of the cell aFrom: one that
 * has room now, if there is one, then the one with the most free CPU. Tasks
 * that wait in a cell don't exclude it: they are placed after long-running
 * tasks that lost their runs. */
auto ChooseHostCell(const std::vector<CellStatus>& aCells,
                    const std::string& aFrom,
                    const HostQuery& aQuery) -> std::optional<std::string>;

} // namespace eelgrasspost::dispatch

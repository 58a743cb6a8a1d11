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
  /** Cells that are not considered if they report capacity that is free now. */
  std::set<std::string> mExcluded;
  /** Cells that are not considered if they have capacity only after short tasks
   * have ended. */
  std::set<std::string> mExcludedIfWaiting;
  /** Also cells that have capacity only after short tasks have ended. */
  bool mMayWait = false;
  /** The task has lost its run: incomplete reservations give way to it. */
  bool mIsRestart = false;
};

/** The cell that should host a long-running task of the cell aFrom: one that
 * has room now, if there is one, unreserved if possible; then the one with the
 * most free CPU. Tasks that wait in a cell don't exclude it: they are placed
 * after long-running tasks that lost their runs. */
auto ChooseHostCell(const std::vector<CellStatus>& aCells,
                    const std::string& aFrom,
                    const HostQuery& aQuery) -> std::optional<std::string>;

} // namespace eelgrasspost::dispatch

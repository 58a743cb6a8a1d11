#pragma once

#include <optional>
#include <string>
#include <vector>

#include "eelgrasspost/cell/cellstate.h"
#include "eelgrasspost/dispatch/dispatchtypes.h"

namespace eelgrasspost::dispatch {

/** A job that has waited this long for capacity is offered to another cell. The
 * slack of a short job that reserves CPU is about a second. */
inline constexpr auto kMigrationDelay = base::Milliseconds(200);
inline constexpr auto kBestEffortMigrationDelay = base::Milliseconds(1200);
/** Maximum number of jobs that migrate away per tick. */
inline constexpr std::size_t kMigrationsPerTick = 3;
/** The same for a cell that may not start anything. */
inline constexpr std::size_t kMigrationsPerTickOfClosedCell = 24;

/** The status of a cell as its holder reports it, except for its token and
 * whether it is active. */
auto MakeCellStatus(const cell::CellState& aCell, base::MonotonicTime aNow)
  -> CellStatus;

/** Whether a cell belongs to a failure domain. */
auto IsInDomain(const std::string& aCell, const std::string& aDomain) -> bool;

/** Share of the short tasks of a job's first steps that a cell could start at
 * once; 1 for a job without such tasks. */
auto StartableShare(const CellStatus& aCell, const cell::JobSpec& aJob)
  -> double;

/** A cell to which a new job is sent. */
struct Offer
{
  std::string mCell;
  /** The cell declines the job unless it can start its first tasks at once. Its
   * status may be out of date. */
  bool mMustStartAtOnce = false;
};

/** The cells to which a new job is sent, one after the other, until one accepts
 * it. aDomain: the domain of the entry that has received the job. */
auto PlanOffers(const std::vector<CellStatus>& aCells,
                const cell::JobSpec& aJob,
                const std::string& aDomain) -> std::vector<Offer>;

/** Whether evacuations close all cells that can be reached. */
auto AreAllClosed(const std::vector<CellStatus>& aCells) -> bool;

/** Whether a job without any run has waited long enough for another cell. */
auto IsMigrationDue(const cell::MigratableJob& aJob) -> bool;

/** Another cell with capacity for the waiting tasks of a job of the cell aFrom.
 */
auto ChooseCellWithCapacity(const std::vector<CellStatus>& aCells,
                            const std::string& aFrom,
                            const cell::MigratableJob& aJob)
  -> std::optional<std::string>;

/** Another cell that stays emptier than the cell aFrom after it has taken one
 * of its jobs, which has not started. */
auto ChooseEmptierCell(const std::vector<CellStatus>& aCells,
                       const std::string& aFrom,
                       const cell::MigratableJob& aJob)
  -> std::optional<std::string>;

} // namespace eelgrasspost::dispatch

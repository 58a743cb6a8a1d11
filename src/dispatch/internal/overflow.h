#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cellchoice.h"
#include "eelgrasspost/admission/admission.h"

namespace eelgrasspost::dispatch {

using base::MonotonicTime;

/** A job that was moved does not overflow again for this time. */
inline constexpr auto kMoveRestTime = Milliseconds(5000);
/** Maximum number of waiting jobs per tick for which cells are compared. */
inline constexpr std::size_t kOverflowCandidatesPerTick = 12;

/** A job that was sent to a cell, or from it if its work is negative. */
struct SentJob
{
  MonotonicTime mAt{};
  admission::Backlog mWork;
};
/** By cell, the jobs that its reports may not include yet. */
using SentJobs = std::map<std::string, std::deque<SentJob>>;

auto AddSent(SentJobs& aSent,
             const std::string& aCell,
             const admission::JobDemand& aDemand,
             double aTimes,
             MonotonicTime aNow) -> void;
/** Removes the jobs that a report of a cell which arrives now includes. */
auto RemoveReported(SentJobs& aSent,
                    const std::string& aCell,
                    MonotonicTime aNow) -> void;
auto SentBacklogs(const SentJobs& aSent, const std::string& aCell)
  -> std::vector<admission::Backlog>;

/** When a cell is expected to have started a job. */
struct CellWait
{
  Milliseconds mWait{ 0 };
  /** Estimated CPU milliseconds that it does per millisecond. */
  double mRate = 0;
  /** The cell has reported its load a short time ago. */
  bool mIsKnown = false;
};

/** The expected times until cells have started the work that is ahead of a job,
 * in the order of the cells. The older a report, the more it is replaced by the
 * mean of the others. aDomain: the domain from which the job comes. aIsLate: it
 * cannot meet its objective any more. */
auto ExpectedWaits(const std::vector<CellStatus>& aCells,
                   const admission::JobDemand& aDemand,
                   const std::string& aDomain,
                   bool aIsLate) -> std::vector<CellWait>;

/** The cells to which a new job is sent, as PlanOffers returns them. Where none
 * can start its first tasks at once, they are ordered by expected wait, and at
 * random among those that are nearly equal. */
auto PlanOffersByWait(const std::vector<CellStatus>& aCells,
                      const cell::JobSpec& aJob,
                      const admission::JobDemand& aDemand,
                      const std::string& aDomain) -> std::vector<Offer>;

/** A waiting job that may move. */
struct OverflowCandidate
{
  cell::MigratableJob mJob;
  admission::JobDemand mDemand;
};

struct OverflowMove
{
  cell::MigratableJob mJob;
  admission::JobDemand mDemand;
  std::string mCell;
  /** Expected waits in its own cell and in the other one. */
  Milliseconds mWaitHere{ 0 };
  Milliseconds mWaitThere{ 0 };
  /** Cells that may make the same choice before the target reports. */
  double mSenders = 1;
};

/** The moves of waiting jobs from the cell aFrom, at most aMaxMoves: only those
 * with which a job is started much earlier. */
auto PlanOverflow(std::vector<CellStatus> aCells,
                  const std::string& aFrom,
                  const std::vector<OverflowCandidate>& aCandidates,
                  std::size_t aMaxMoves) -> std::vector<OverflowMove>;

} // namespace eelgrasspost::dispatch

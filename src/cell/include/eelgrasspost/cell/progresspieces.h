#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "eelgrasspost/cell/cellstate.h"

namespace eelgrasspost::cell {

/** Progress of a fixed range of a job's tasks, which are numbered by
 * occurrence, step and index. A row of the store holds it, however many tasks
 * the job has.
 */
struct ProgressPiece
{
  /** A bit for each task that is done, the lowest of each byte first; empty if
   * none is. */
  std::string mDoneBits;
  /** Tasks that are not done and have progress. */
  std::vector<TaskProgress> mTasks;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mDoneBits, mTasks);
  }
};

/** Successive pieces. */
struct PieceRange
{
  std::uint64_t mFirst = 0;
  std::uint64_t mCount = 0;

  auto operator==(const PieceRange&) const -> bool = default;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mFirst, mCount);
  }
};

/** Number of tasks of a piece, which doesn't change while the job exists. */
auto TasksPerPiece(const StoredJob& aJob) -> std::uint64_t;
/** Number of pieces of a job with all its occurrences. */
auto CountPieces(const StoredJob& aJob) -> std::uint64_t;
/** Number of the piece that a task belongs to. */
auto PieceOf(const Task& aTask) -> std::uint64_t;
auto PieceOf(const Job& aJob, const TaskPosition& aTask) -> std::uint64_t;

auto ProgressOfPiece(const Job& aJob, std::uint64_t aPiece) -> ProgressPiece;
auto HasProgress(const ProgressPiece& aPiece) -> bool;
/** Whether all tasks of a piece are done. */
auto IsPieceDone(const Job& aJob, std::uint64_t aPiece) -> bool;
/** The pieces of a job that have progress. */
auto FindPiecesWithProgress(const Job& aJob) -> std::set<std::uint64_t>;

/** Adds a piece to sorted ranges unless that takes more than aMaxRanges;
 * returns whether the ranges contain it. */
auto AddToRanges(std::vector<PieceRange>& aRanges,
                 std::uint64_t aPiece,
                 std::size_t aMaxRanges) -> bool;

auto IsInRanges(const std::vector<PieceRange>& aRanges, std::uint64_t aPiece)
  -> bool;

/** The progress of a job of which some pieces are done and others have the
 * given progress. */
auto MergePieces(const StoredJob& aJob,
                 const std::vector<PieceRange>& aDone,
                 const std::map<std::uint64_t, ProgressPiece>& aPieces)
  -> JobProgress;

/** Discards the longest checkpoints until tasks take at most the given bytes in
 * the store; returns how many were discarded. */
auto LimitCheckpoints(std::vector<TaskProgress>& aTasks, std::size_t aMaxBytes)
  -> std::size_t;

} // namespace eelgrasspost::cell

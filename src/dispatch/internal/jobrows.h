#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "eelgrasspost/cell/progresspieces.h"

namespace eelgrasspost::dispatch {

/** A job's rows in the store, as this holder last wrote them. */
struct JobRows
{
  std::uint64_t mJobVersion = 0;
  /** 0 if there is no progress row. */
  std::uint64_t mProgressVersion = 0;
  // The rest is used by jobs whose progress takes more than one piece.
  /** Part of the keys of the pieces; 0 until one is written. */
  std::uint64_t mGeneration = 0;
  /** Pieces that have a row, or may have one. */
  std::set<std::uint64_t> mPieces;
  /** Pieces of which all tasks are done, as the progress row lists them. */
  std::vector<cell::PieceRange> mDonePieces;
  /** The progress row of an earlier version, until the pieces replace it. */
  std::string mEarlierProgress;
  /** A write of the progress is in flight. */
  bool mIsBeingWritten = false;
};

/** A job that is being read from the store. */
struct LoadedJob
{
  cell::StoredJob mJob;
  JobRows mRows;
  /** The value of the progress row; empty if there is none. */
  std::string mProgressValue;
  cell::JobProgress mProgress;
  /** It has ended; only its rows are still to be removed. */
  bool mHasEnded = false;
  /** Its progress cannot be decoded. */
  bool mIsDamaged = false;
};

/** Whether a job's progress takes more than one piece. */
inline auto IsInPieces(const cell::StoredJob& aJob) -> bool
{
  return cell::CountPieces(aJob) > 1;
}

} // namespace eelgrasspost::dispatch

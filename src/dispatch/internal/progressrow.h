#pragma once

#include <limits>
#include <optional>

#include "eelgrasspost/cell/celltypes.h"
#include "eelgrasspost/cell/progresspieces.h"
#include "eelgrasspost/net/codec.h"

namespace eelgrasspost::dispatch {

/** The row of a job's progress if that takes more than one piece. Each other
 * piece has a row of its own, under a key with the generation. */
struct ProgressHead
{
  std::uint64_t mGeneration = 0;
  /** Final if the job has ended and only its rows are still to be removed. */
  cell::JobState mEndState = cell::JobState::Queued;
  /** Pieces of which all tasks are done; they have no rows. */
  std::vector<cell::PieceRange> mDonePieces;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mGeneration, mEndState, mDonePieces);
  }
};

/** The head as it is stored. The marker is no length of a list, with which the
 * progress of a job in one piece begins. */
struct ProgressHeadRow
{
  static constexpr auto kMarker = std::numeric_limits<std::uint64_t>::max();
  static constexpr std::uint32_t kFormat = 1;

  std::uint64_t mMarker = kMarker;
  std::uint32_t mFormat = kFormat;
  ProgressHead mHead;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mMarker, mFormat, mHead);
  }
};

/** Decodes the row of a job's progress, which is in one piece. */
inline auto DecodeProgress(std::string_view aValue)
  -> absl::StatusOr<cell::JobProgress>
{
  auto out = net::Decode<cell::JobProgress>(aValue);
  if (out.ok()) {
    return out;
  }
  // Rows of earlier versions list each task that is done.
  auto tasks = net::Decode<std::vector<cell::TaskProgress>>(aValue);
  if (!tasks.ok()) {
    return out;
  }
  cell::JobProgress earlier;
  earlier.mTasks = *std::move(tasks);
  return earlier;
}

/** Nothing if the row is not a head of a format that this version knows. */
inline auto DecodeProgressHead(std::string_view aValue)
  -> std::optional<ProgressHead>
{
  const auto row = net::Decode<ProgressHeadRow>(aValue);
  if (!row.ok() || row->mMarker != ProgressHeadRow::kMarker ||
      row->mFormat != ProgressHeadRow::kFormat) {
    return std::nullopt;
  }
  return row->mHead;
}

} // namespace eelgrasspost::dispatch

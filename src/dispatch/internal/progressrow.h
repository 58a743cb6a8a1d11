#pragma once

#include "eelgrasspost/cell/celltypes.h"
#include "eelgrasspost/net/codec.h"

namespace eelgrasspost::dispatch {

/** Decodes the row of a job's progress. */
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

} // namespace eelgrasspost::dispatch

#pragma once

#include <string>
#include <string_view>

#include "eelgrasspost/base/text.h"
#include "workerkeys.h"

namespace eelgrasspost::dispatch {

// Keys of the control table.

inline constexpr std::string_view kCellPrefix = "cell/";
inline constexpr std::string_view kEntryPrefix = "entry/";
inline constexpr std::string_view kTransferPrefix = "lent/";
inline constexpr std::string_view kPartitionsKey = "partitions";

inline auto CellKey(std::string_view aCell) -> std::string
{
  return base::Cat(kCellPrefix, aCell);
}

inline auto EntryKey(std::string_view aEntry) -> std::string
{
  return base::Cat(kEntryPrefix, aEntry);
}

inline auto TransferKey(std::string_view aWorker) -> std::string
{
  return WorkerKey(kTransferPrefix, aWorker);
}

} // namespace eelgrasspost::dispatch

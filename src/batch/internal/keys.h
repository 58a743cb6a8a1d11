#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/batch/batchtypes.h"
#include "eelgrasspost/membership/membershiptypes.h"

namespace eelgrasspost::batch {

/** Parts into which the blocks of all jobs are split; each has one decider. */
inline constexpr std::uint32_t kPartitions = 256;

/** Partition of a block. */
auto PartitionOf(const std::string& aJob, std::int64_t aBlock) -> std::uint32_t;
/** The live entry that decides on a partition, by highest random weight. */
auto CoordinatorOf(std::uint32_t aPartition,
                   const membership::MemberView& aMembers) -> std::string;
/** The partitions that an entry decides on, in order. */
auto PartitionsOf(const std::string& aEntry,
                  const membership::MemberView& aMembers)
  -> std::vector<std::uint32_t>;

inline constexpr std::string_view kJobPrefix = "job/";
inline constexpr std::string_view kChangePrefix = "change/";

auto JobKey(const std::string& aJob) -> std::string;
/** Row whose version grows when somebody else than the decider changes a
 * partition. */
auto ChangeKey(std::uint32_t aPartition) -> std::string;
auto PartitionOfChangeKey(const std::string& aKey)
  -> std::optional<std::uint32_t>;
/** Prefix of the blocks of a partition that have not ended. */
auto BlockPrefix(std::uint32_t aPartition) -> std::string;
auto BlockKey(const std::string& aJob, std::int64_t aBlock) -> std::string;
/** Prefix of the blocks of a job that have ended. */
auto DonePrefix(const std::string& aJob) -> std::string;
auto DoneKey(const std::string& aJob, std::int64_t aBlock) -> std::string;
/** Row of a cancellation that a partition's decider has yet to apply. */
auto CancelPrefix(std::uint32_t aPartition) -> std::string;
/** Row of a job whose blocks are yet to be written by a decider. */
auto GrowPrefix(std::uint32_t aPartition) -> std::string;

/** Name of a task towards workers, "<job>/<index>", and back. */
auto TaskName(const std::string& aJob, std::int64_t aTask) -> std::string;

struct TaskPosition
{
  std::string mJob;
  std::int64_t mBlock = 0;
  std::size_t mSlot = 0;
};

auto ParseTaskName(const std::string& aName) -> std::optional<TaskPosition>;

/** Values of a cancellation's row: as asked for, in the partition of the
 * job's first block, and as passed on to the partitions of the others. */
inline constexpr std::string_view kCancelRequested = "requested";
inline constexpr std::string_view kCancelAccepted = "accepted";

/** Number of blocks of a job. */
auto BlocksOf(const JobSpec& aSpec) -> std::int64_t;
/** A block of a job with all tasks pending. */
auto NewBlock(const JobSpec& aSpec, std::int64_t aIndex) -> TaskBlock;

/** Adds the writes that create blocks of a job and tell their deciders. */
auto AddNewBlocks(const JobSpec& aSpec,
                  std::int64_t aFrom,
                  std::int64_t aUntil,
                  std::vector<platform::TableWrite>& aWrites) -> void;

/** Stretches an interval with the number of entries, so that all together
 * stay within the store's rate. */
auto ScaledInterval(base::Milliseconds aMinimum, std::size_t aEntries)
  -> base::Milliseconds;

} // namespace eelgrasspost::batch

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/batch/batchtypes.h"
#include "eelgrasspost/membership/membershiptypes.h"

namespace eelgrasspost::batch {

/** Number of partitions of the blocks of all jobs. Each partition has one
 * coordinator. */
inline constexpr std::uint32_t kPartitions = 256;

/** Partition of a block. */
auto PartitionOf(const std::string& aJob, std::int64_t aBlock) -> std::uint32_t;
/** The live entry that coordinates a partition, chosen by rendezvous hashing
 * (highest random weight). */
auto CoordinatorOf(std::uint32_t aPartition,
                   const membership::MemberView& aMembers) -> std::string;
/** The partitions that an entry coordinates, in order. */
auto PartitionsOf(const std::string& aEntry,
                  const membership::MemberView& aMembers)
  -> std::vector<std::uint32_t>;

inline constexpr std::string_view kJobPrefix = "job/";
inline constexpr std::string_view kChangePrefix = "change/";

auto JobKey(const std::string& aJob) -> std::string;
/** Key of the row whose version is incremented whenever anyone but the
 * coordinator changes a partition. */
auto ChangeKey(std::uint32_t aPartition) -> std::string;
auto PartitionOfChangeKey(const std::string& aKey)
  -> std::optional<std::uint32_t>;
/** Key prefix of the blocks of a partition that have not ended. */
auto BlockPrefix(std::uint32_t aPartition) -> std::string;
auto BlockKey(const std::string& aJob, std::int64_t aBlock) -> std::string;
/** Key prefix of the blocks of a job that have ended. */
auto DonePrefix(const std::string& aJob) -> std::string;
auto DoneKey(const std::string& aJob, std::int64_t aBlock) -> std::string;
/** Key prefix of cancellations that the partition's coordinator has yet to
 * apply. */
auto CancelPrefix(std::uint32_t aPartition) -> std::string;
/** Key prefix of jobs whose remaining blocks the partition's coordinator has
 * yet to write. */
auto GrowPrefix(std::uint32_t aPartition) -> std::string;

/** Name by which workers know a task: "<job>/<index>". */
auto TaskName(const std::string& aJob, std::int64_t aTask) -> std::string;

struct TaskPosition
{
  std::string mJob;
  std::int64_t mBlock = 0;
  std::size_t mSlot = 0;
};

auto ParseTaskName(const std::string& aName) -> std::optional<TaskPosition>;

/** Values of the row of a cancellation: "requested" in the partition of the
 * job's first block, "accepted" in the partitions to which it was fanned
 * out. */
inline constexpr std::string_view kCancelRequested = "requested";
inline constexpr std::string_view kCancelAccepted = "accepted";

/** Number of blocks of a job. */
auto BlocksOf(const JobSpec& aSpec) -> std::int64_t;
/** A block of a job with all tasks pending. */
auto NewBlock(const JobSpec& aSpec, std::int64_t aIndex) -> TaskBlock;

/** Adds the writes that create the blocks [aFrom, aUntil) of a job and notify
 * their coordinators. */
auto AddNewBlocks(const JobSpec& aSpec,
                  std::int64_t aFrom,
                  std::int64_t aUntil,
                  std::vector<platform::TableWrite>& aWrites) -> void;

/** Scales an interval with the number of entries, so that the calls of all
 * entries together stay within the rate limit of the store. */
auto ScaledInterval(base::Milliseconds aMinimum, std::size_t aEntries)
  -> base::Milliseconds;

} // namespace eelgrasspost::batch

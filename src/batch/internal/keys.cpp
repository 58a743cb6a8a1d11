#include "keys.h"

#include <algorithm>
#include <set>

#include <xxhash.h>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/batch/jobcodec.h"

namespace eelgrasspost::batch {

namespace {

auto HashOf(const std::string& aText) -> std::uint64_t
{
  return XXH3_64bits(aText.data(), aText.size());
}

auto IsLive(const membership::Member& aMember) -> bool
{
  return aMember.mState == membership::MemberState::Alive ||
         aMember.mState == membership::MemberState::Suspect;
}

} // namespace

auto PartitionOf(const std::string& aJob, std::int64_t aBlock) -> std::uint32_t
{
  const auto hash = HashOf(base::Cat(aJob, "\n", aBlock));
  return static_cast<std::uint32_t>(hash % kPartitions);
}

auto CoordinatorOf(std::uint32_t aPartition,
                   const membership::MemberView& aMembers) -> std::string
{
  std::string best;
  std::uint64_t bestWeight = 0;
  for (const auto& it : aMembers.mMembers) {
    if (!IsLive(it)) {
      continue;
    }
    const auto weight = HashOf(base::Cat(aPartition, "\n", it.mIdentity.mId));
    if (best.empty() || weight > bestWeight) {
      best = it.mIdentity.mId;
      bestWeight = weight;
    }
  }
  return best;
}

auto PartitionsOf(const std::string& aEntry,
                  const membership::MemberView& aMembers)
  -> std::vector<std::uint32_t>
{
  std::vector<std::uint32_t> out;
  for (std::uint32_t i = 0; i < kPartitions; ++i) {
    if (CoordinatorOf(i, aMembers) == aEntry) {
      out.push_back(i);
    }
  }
  return out;
}

auto JobKey(const std::string& aJob) -> std::string
{
  return base::Cat(kJobPrefix, aJob);
}

auto ChangeKey(std::uint32_t aPartition) -> std::string
{
  return fmt::format("{}{:03}", kChangePrefix, aPartition);
}

auto PartitionOfChangeKey(const std::string& aKey)
  -> std::optional<std::uint32_t>
{
  return base::ParseNumber<std::uint32_t>(
    std::string_view(aKey).substr(std::min(aKey.size(), kChangePrefix.size())));
}

auto BlockPrefix(std::uint32_t aPartition) -> std::string
{
  return fmt::format("block/{:03}/", aPartition);
}

auto BlockKey(const std::string& aJob, std::int64_t aBlock) -> std::string
{
  return fmt::format(
    "{}{}/{:06}", BlockPrefix(PartitionOf(aJob, aBlock)), aJob, aBlock);
}

auto DonePrefix(const std::string& aJob) -> std::string
{
  return base::Cat("done/", aJob, "/");
}

auto DoneKey(const std::string& aJob, std::int64_t aBlock) -> std::string
{
  return fmt::format("{}{:06}", DonePrefix(aJob), aBlock);
}

auto CancelPrefix(std::uint32_t aPartition) -> std::string
{
  return fmt::format("cancel/{:03}/", aPartition);
}

auto GrowPrefix(std::uint32_t aPartition) -> std::string
{
  return fmt::format("grow/{:03}/", aPartition);
}

auto TaskName(const std::string& aJob, std::int64_t aTask) -> std::string
{
  return base::Cat(aJob, "/", aTask);
}

auto ParseTaskName(const std::string& aName) -> std::optional<TaskPosition>
{
  const auto slash = aName.rfind('/');
  if (slash == std::string::npos) {
    return std::nullopt;
  }
  const auto task = base::ParseNumber(aName.substr(slash + 1));
  if (!task || *task < 0) {
    return std::nullopt;
  }
  return TaskPosition{ aName.substr(0, slash),
                       *task / kTasksPerBlock,
                       static_cast<std::size_t>(*task % kTasksPerBlock) };
}

auto BlocksOf(const JobSpec& aSpec) -> std::int64_t
{
  return (aSpec.mTasks + kTasksPerBlock - 1) / kTasksPerBlock;
}

auto AddNewBlocks(const JobSpec& aSpec,
                  std::int64_t aFrom,
                  std::int64_t aUntil,
                  std::vector<platform::TableWrite>& aWrites) -> void
{
  std::set<std::uint32_t> partitions;
  for (auto i = aFrom; i < aUntil; ++i) {
    aWrites.push_back({ BlockKey(aSpec.mId, i),
                        EncodeBlock(NewBlock(aSpec, i)),
                        platform::kAbsent });
    partitions.insert(PartitionOf(aSpec.mId, i));
  }
  for (const auto it : partitions) {
    aWrites.push_back({ ChangeKey(it), std::string(), std::nullopt });
  }
}

auto ScaledInterval(base::Milliseconds aMinimum, std::size_t aEntries)
  -> base::Milliseconds
{
  /** Limit on the calls per second of all entries together. */
  constexpr std::int64_t kCallsPerSecond = 300;
  constexpr std::int64_t kSecond = 1000;
  const auto needed = base::Milliseconds(static_cast<std::int64_t>(aEntries) *
                                         kSecond / kCallsPerSecond);
  return std::max(aMinimum, needed);
}

auto NewBlock(const JobSpec& aSpec, std::int64_t aIndex) -> TaskBlock
{
  const auto left = aSpec.mTasks - aIndex * kTasksPerBlock;
  const auto size = std::clamp<std::int64_t>(left, 0, kTasksPerBlock);
  TaskBlock out{ aSpec, aIndex, {} };
  out.mTasks.resize(static_cast<std::size_t>(size));
  return out;
}

} // namespace eelgrasspost::batch

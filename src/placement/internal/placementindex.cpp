#include "eelgrasspost/placement/placementindex.h"

#include <algorithm>

#include "eelgrasspost/base/text.h"

namespace eelgrasspost::placement {

namespace {

/** Maximum number of candidates that a choice compares. */
constexpr int kMaxCandidates = 4;
/** Maximum number of nodes that a search visits per level of the tree. */
constexpr int kMaxVisitsPerLevel = 8;

constexpr auto kNoCapacity = Resources{ -1, -1, -1 };

auto Max(const Resources& aOne, const Resources& aOther) -> Resources
{
  return { std::max(aOne.mCpuMillis, aOther.mCpuMillis),
           std::max(aOne.mMemoryMb, aOther.mMemoryMb),
           std::max(aOne.mAccelerators, aOther.mAccelerators) };
}

auto Contains(const std::vector<std::string>& aList, const std::string& aText)
  -> bool
{
  return std::ranges::find(aList, aText) != aList.end();
}

/** Hashes a seed, so that adjacent seeds give distant start positions. */
auto Mix(std::uint64_t aSeed) -> std::uint64_t
{
  constexpr std::uint64_t kGolden = 0x9E3779B97F4A7C15ULL;
  constexpr std::uint64_t kMultiplier = 0xBF58476D1CE4E5B9ULL;
  auto n = (aSeed + 1) * kGolden;
  n = (n ^ (n >> 30)) * kMultiplier;
  return n ^ (n >> 31);
}

/** Ranks candidates, lower is better: by spread, then by the CPU left over. */
struct CandidateScore
{
  bool mSameRack = false;
  bool mSameDomain = false;
  std::int64_t mCpuLeft = 0;

  auto operator<=>(const CandidateScore&) const = default;
};

auto ScoreOf(const PlacementDemand& aDemand, const WorkerCapacity& aCapacity)
  -> CandidateScore
{
  return { Contains(aDemand.mUsedRacks, aCapacity.mRack),
           Contains(aDemand.mUsedDomains, aCapacity.mFailureDomain),
           aCapacity.mFree.mCpuMillis - aDemand.mResources.mCpuMillis };
}

} // namespace

auto PlacementIndex::Set(const WorkerCapacity& aCapacity) -> void
{
  const auto it = mSlotOf.find(aCapacity.mWorker);
  if (it != mSlotOf.end()) {
    mCapacities[it->second] = aCapacity;
    Update(it->second);
    return;
  }
  std::size_t slot = mCapacities.size();
  if (mUnused.empty()) {
    mCapacities.push_back(aCapacity);
  } else {
    slot = mUnused.back();
    mUnused.pop_back();
    mCapacities[slot] = aCapacity;
  }
  mSlotOf[aCapacity.mWorker] = slot;
  if (slot >= mLeaves) {
    Grow();
  } else {
    Update(slot);
  }
}

auto PlacementIndex::Remove(std::string_view aWorker) -> void
{
  const auto it = mSlotOf.find(std::string(aWorker));
  if (it == mSlotOf.end()) {
    return;
  }
  const auto slot = it->second;
  mSlotOf.erase(it);
  mCapacities[slot] = WorkerCapacity{};
  mCapacities[slot].mIsSchedulable = false;
  mUnused.push_back(slot);
  Update(slot);
}

auto PlacementIndex::Allocate(std::string_view aWorker,
                              const Resources& aResources) -> void
{
  const auto it = mSlotOf.find(std::string(aWorker));
  if (it != mSlotOf.end()) {
    auto& capacity = mCapacities[it->second];
    capacity.mFree = capacity.mFree - aResources;
    Update(it->second);
  }
}

auto PlacementIndex::Find(std::string_view aWorker) const
  -> const WorkerCapacity*
{
  const auto it = mSlotOf.find(std::string(aWorker));
  return it == mSlotOf.end() ? nullptr : &mCapacities[it->second];
}

auto PlacementIndex::Grow() -> void
{
  mLeaves = std::max<std::size_t>(1, mLeaves);
  while (mLeaves < mCapacities.size()) {
    mLeaves *= 2;
  }
  mTree.assign(2 * mLeaves, Node{ kNoCapacity, kNoCapacity });
  for (std::size_t i = 0; i < mCapacities.size(); ++i) {
    Update(i);
  }
}

auto PlacementIndex::Update(std::size_t aSlot) -> void
{
  const auto& capacity = mCapacities[aSlot];
  auto node = mLeaves + aSlot;
  mTree[node] = capacity.mIsSchedulable
                  ? Node{ capacity.mFree, capacity.mFree - capacity.mReserved }
                  : Node{ kNoCapacity, kNoCapacity };
  while (node > 1) {
    node /= 2;
    const auto& left = mTree[2 * node];
    const auto& right = mTree[2 * node + 1];
    mTree[node] = { Max(left.mShort, right.mShort),
                    Max(left.mLong, right.mLong) };
  }
}

auto PlacementIndex::IsEligible(const PlacementDemand& aDemand,
                                std::size_t aSlot) const -> bool
{
  return aSlot < mCapacities.size() &&
         !Contains(aDemand.mExcluded, mCapacities[aSlot].mWorker);
}

auto PlacementIndex::Descend(const PlacementDemand& aDemand,
                             std::size_t aNode,
                             std::size_t aFirst,
                             std::size_t aWidth,
                             std::size_t aFrom,
                             int& aBudget) const -> std::optional<std::size_t>
{
  const auto& node = mTree[aNode];
  const auto& most =
    aDemand.mClass == WorkClass::Long ? node.mLong : node.mShort;
  if (aFirst + aWidth <= aFrom || --aBudget < 0 ||
      !Fits(aDemand.mResources, most)) {
    return std::nullopt;
  }
  if (aWidth == 1) {
    return IsEligible(aDemand, aFirst) ? std::optional(aFirst) : std::nullopt;
  }
  const auto half = aWidth / 2;
  const auto left = Descend(aDemand, 2 * aNode, aFirst, half, aFrom, aBudget);
  return left ? left
              : Descend(
                  aDemand, 2 * aNode + 1, aFirst + half, half, aFrom, aBudget);
}

auto PlacementIndex::FirstFit(const PlacementDemand& aDemand,
                              std::size_t aFrom) const
  -> std::optional<std::size_t>
{
  int levels = 1;
  while ((std::size_t{ 1 } << levels) < mLeaves) {
    ++levels;
  }
  auto budget = kMaxVisitsPerLevel * (levels + 1);
  const auto after = Descend(aDemand, 1, 0, mLeaves, aFrom, budget);
  if (after || aFrom == 0) {
    return after;
  }
  budget = kMaxVisitsPerLevel * (levels + 1);
  return Descend(aDemand, 1, 0, mLeaves, 0, budget);
}

auto PlacementIndex::Choose(const PlacementDemand& aDemand,
                            std::uint64_t aSeed) const
  -> std::optional<std::string>
{
  if (mSlotOf.empty()) {
    return std::nullopt;
  }
  const WorkerCapacity* best = nullptr;
  for (int i = 0; i < kMaxCandidates; ++i) {
    const auto start =
      Mix(aSeed + static_cast<std::uint64_t>(i)) % mCapacities.size();
    const auto slot = FirstFit(aDemand, start);
    if (!slot) {
      continue;
    }
    const auto& capacity = mCapacities[*slot];
    if (best == nullptr ||
        ScoreOf(aDemand, capacity) < ScoreOf(aDemand, *best)) {
      best = &capacity;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->mWorker);
}

auto DescribeShortfall(const Resources& aDemand, const Resources& aCapacity)
  -> std::string
{
  std::vector<std::string> parts;
  const auto compare =
    [&](std::string_view aName, std::int64_t aWanted, std::int64_t aHeld) {
      if (aWanted > aHeld) {
        parts.push_back(base::Cat(
          aName, " ", aWanted, " is ", aWanted - aHeld, " above ", aHeld));
      }
    };
  compare("cpu_millis", aDemand.mCpuMillis, aCapacity.mCpuMillis);
  compare("memory_mb", aDemand.mMemoryMb, aCapacity.mMemoryMb);
  compare("accelerators", aDemand.mAccelerators, aCapacity.mAccelerators);
  return base::Join(parts, ", ");
}

} // namespace eelgrasspost::placement

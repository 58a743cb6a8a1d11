#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "eelgrasspost/placement/placementtypes.h"

namespace eelgrasspost::placement {

/** Free capacity of a worker. */
struct WorkerCapacity
{
  std::string mWorker;
  std::string mRack;
  std::string mFailureDomain;
  /** Free resources, available to short tasks. */
  Resources mFree;
  /** Part of them that long tasks must leave free. */
  Resources mReserved;
  /** False while no new tasks may be placed on the worker. */
  bool mIsSchedulable = true;
};

/** Requirements of a task to be placed. */
struct PlacementDemand
{
  Resources mResources;
  WorkClass mClass = WorkClass::Short;
  /** Workers on which the task must not be placed. */
  std::vector<std::string> mExcluded;
  /** Racks and failure domains that already run tasks of the same job. */
  std::vector<std::string> mUsedRacks;
  std::vector<std::string> mUsedDomains;
};

/**
 * Finds a worker with enough free capacity in time logarithmic in the number of
 * workers. Each node of a segment tree stores the per-resource maximum of the
 * free capacity below it; a search descends from a seeded start position and
 * prunes subtrees that cannot fit. Several start positions yield candidates, of
 * which the one with the best spread, then the tightest fit, is chosen.
 */
class PlacementIndex
{
public:
  /** Adds a worker or replaces its capacity. */
  auto Set(const WorkerCapacity& aCapacity) -> void;
  auto Remove(std::string_view aWorker) -> void;
  /** Subtracts resources from a worker's free capacity; negative ones are
   * returned to it. */
  auto Allocate(std::string_view aWorker, const Resources& aResources) -> void;
  auto Find(std::string_view aWorker) const -> const WorkerCapacity*;
  auto Size() const -> std::size_t { return mSlotOf.size(); }

  /** Chooses a worker; nullopt if none was found. The same seed gives the same
   * choice. */
  auto Choose(const PlacementDemand& aDemand, std::uint64_t aSeed) const
    -> std::optional<std::string>;

private:
  /** Per-resource maximum of the free capacity below a node, for short and for
   * long tasks. */
  struct Node
  {
    Resources mShort;
    Resources mLong;
  };

  auto Update(std::size_t aSlot) -> void;
  auto Grow() -> void;
  auto FirstFit(const PlacementDemand& aDemand, std::size_t aFrom) const
    -> std::optional<std::size_t>;
  auto Descend(const PlacementDemand& aDemand,
               std::size_t aNode,
               std::size_t aFirst,
               std::size_t aWidth,
               std::size_t aFrom,
               int& aBudget) const -> std::optional<std::size_t>;
  auto IsEligible(const PlacementDemand& aDemand, std::size_t aSlot) const
    -> bool;

  std::vector<WorkerCapacity> mCapacities;
  /** Slots of mCapacities without a worker. */
  std::vector<std::size_t> mUnused;
  std::unordered_map<std::string, std::size_t> mSlotOf;
  /** A complete binary tree: the root at 1, the leaves from mLeaves on. */
  std::vector<Node> mTree;
  std::size_t mLeaves = 0;
};

/** Names the dimensions in which a demand exceeds a capacity; empty if none. */
auto DescribeShortfall(const Resources& aDemand, const Resources& aCapacity)
  -> std::string;

} // namespace eelgrasspost::placement

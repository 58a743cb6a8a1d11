#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "eelgrasspost/placement/placementtypes.h"

namespace eelgrasspost::placement {

/** What a worker can still take. */
struct WorkerCapacity
{
  std::string mWorker;
  std::string mRack;
  std::string mFailureDomain;
  /** Free for short work. */
  Resources mFree;
  /** Part of it that long work may not take. */
  Resources mReserved;
  /** False while no new work may go there. */
  bool mIsSchedulable = true;
};

/** A task that needs a place. */
struct PlacementDemand
{
  Resources mResources;
  WorkClass mClass = WorkClass::Short;
  /** Workers that must not get it. */
  std::vector<std::string> mExcluded;
  /** Racks and failure domains that hold tasks of the same job already. */
  std::vector<std::string> mUsedRacks;
  std::vector<std::string> mUsedDomains;
};

/**
 * Finds a worker with room in time that grows with the logarithm of the number
 * of workers. A tree holds at each node the most that a worker below it has
 * free in each dimension; a search descends from a seeded start and leaves out
 * what cannot fit. Several starts give candidates, of which the tightest fit
 * with the best spread is taken.
 */
class PlacementIndex
{
public:
  /** Adds a worker or replaces what is known of it. */
  auto Set(const WorkerCapacity& aCapacity) -> void;
  auto Remove(std::string_view aWorker) -> void;
  /** Takes resources from a worker's room, or gives them back when negative. */
  auto Allocate(std::string_view aWorker, const Resources& aResources) -> void;
  auto Find(std::string_view aWorker) const -> const WorkerCapacity*;
  auto Size() const -> std::size_t { return mSlotOf.size(); }

  /** Chooses a worker; nothing when none has been found. The same seed gives
   * the same choice. */
  auto Choose(const PlacementDemand& aDemand, std::uint64_t aSeed) const
    -> std::optional<std::string>;

private:
  /** The most that is free below a node, for short and for long work. */
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
  /** Slots of mCapacities that hold no worker. */
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

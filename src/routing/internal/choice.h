#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "eelgrasspost/routing/routingtypes.h"

namespace eelgrasspost::routing {

/** Load of one candidate at the moment of the choice. */
struct CandidateLoad
{
  std::int64_t mUsed = 0;
  /** Candidates without a free place are never chosen; 0 excludes one. */
  std::int64_t mLimit = 0;

  auto IsFree() const -> bool { return mUsed < mLimit; }
};

/** Whether the share in use of one candidate is below that of another. */
inline auto IsLessLoaded(const CandidateLoad& aLeft,
                         const CandidateLoad& aRight) -> bool
{
  return aLeft.mUsed * aRight.mLimit < aRight.mUsed * aLeft.mLimit;
}

/** Index of the less loaded of two free candidates that differ, if any. */
template<typename LoadOf>
auto ChooseOfTwo(std::size_t aCount,
                 std::uint64_t aRandom,
                 const LoadOf& aLoadOf) -> std::optional<std::size_t>
{
  constexpr unsigned kHalfBits = 32;
  const auto first = (aRandom >> kHalfBits) % aCount;
  if (aCount == 1) {
    return aLoadOf(first).IsFree() ? std::optional(first) : std::nullopt;
  }
  const auto step = 1 + (aRandom & 0xffffffffU) % (aCount - 1);
  const auto second = (first + step) % aCount;
  const auto left = aLoadOf(first);
  const auto right = aLoadOf(second);
  if (left.IsFree() && right.IsFree()) {
    return IsLessLoaded(right, left) ? second : first;
  }
  if (left.IsFree()) {
    return first;
  }
  return right.IsFree() ? std::optional(second) : std::nullopt;
}

template<typename LoadOf>
auto ChooseLeastLoaded(std::size_t aCount, const LoadOf& aLoadOf)
  -> std::optional<std::size_t>
{
  std::optional<std::size_t> best;
  CandidateLoad bestLoad;
  for (std::size_t i = 0; i < aCount; ++i) {
    const auto load = aLoadOf(i);
    if (load.IsFree() && (!best || IsLessLoaded(load, bestLoad))) {
      best = i;
      bestLoad = load;
    }
  }
  return best;
}

/** First free candidate from a random one on. */
template<typename LoadOf>
auto ChooseAnyFree(std::size_t aCount,
                   std::uint64_t aRandom,
                   const LoadOf& aLoadOf) -> std::optional<std::size_t>
{
  for (std::size_t i = 0; i < aCount; ++i) {
    const auto index = (aRandom + i) % aCount;
    if (aLoadOf(index).IsFree()) {
      return index;
    }
  }
  return std::nullopt;
}

/**
 * Chooses a candidate with a free place. Two choices read two candidates and
 * look at the others only when both are full.
 */
template<typename LoadOf>
auto Choose(ChoicePolicy aPolicy,
            std::size_t aCount,
            std::uint64_t aRandom,
            const LoadOf& aLoadOf) -> std::optional<std::size_t>
{
  if (aCount == 0) {
    return std::nullopt;
  }
  if (aPolicy == ChoicePolicy::LeastLoaded) {
    return ChooseLeastLoaded(aCount, aLoadOf);
  }
  if (aPolicy == ChoicePolicy::Random) {
    return ChooseAnyFree(aCount, aRandom, aLoadOf);
  }
  const auto chosen = ChooseOfTwo(aCount, aRandom, aLoadOf);
  return chosen ? chosen : ChooseAnyFree(aCount, aRandom, aLoadOf);
}

} // namespace eelgrasspost::routing

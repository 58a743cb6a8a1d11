#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "eelgrasspost/routing/routingtypes.h"

namespace eelgrasspost::routing {

/** Current load of a candidate. */
struct CandidateLoad
{
  std::int64_t mUsed = 0;
  /** Candidates at their limit are never chosen; 0 excludes a candidate. */
  std::int64_t mLimit = 0;

  auto IsFree() const -> bool { return mUsed < mLimit; }
};

/** Whether the utilization of the left candidate is lower. */
inline auto IsLessLoaded(const CandidateLoad& aLeft,
                         const CandidateLoad& aRight) -> bool
{
  return aLeft.mUsed * aRight.mLimit < aRight.mUsed * aLeft.mLimit;
}

/** Index of the less loaded of two distinct random candidates, if at least one
 * of them is free. */
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

/** The first free candidate, searched from a random index on. */
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
 * Chooses a free candidate. TwoChoices reads the load of two candidates, and
 * of the others only if both are full.
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

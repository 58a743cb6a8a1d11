#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "eelgrasspost/base/enumnames.h"
#include "eelgrasspost/dispatch/iplatform.h"

namespace eelgrasspost::configcheck {

enum class FindingKind : std::uint8_t
{
  /** A value is missing or out of its range. */
  Error,
  /** No request can select the queue. */
  NeverMatches,
  /** Two values exclude each other. */
  Contradiction,
};

inline constexpr auto kFindingKindNames = std::array{
  base::EnumName<FindingKind>{ FindingKind::Error, "error" },
  base::EnumName<FindingKind>{ FindingKind::NeverMatches, "never matches" },
  base::EnumName<FindingKind>{ FindingKind::Contradiction, "contradiction" },
};

/** Something in a configuration that its operator should correct. */
struct Finding
{
  FindingKind mKind = FindingKind::Error;
  /** The queue, or the limit, that it is about. */
  std::string mSubject;
  /** What is wrong and how to correct it. */
  std::string mText;
};

auto CheckConfiguration(const dispatch::Configuration& aConfiguration)
  -> std::vector<Finding>;

enum class ChangeKind : std::uint8_t
{
  Added,
  Removed,
  Changed,
};

inline constexpr auto kChangeKindNames = std::array{
  base::EnumName<ChangeKind>{ ChangeKind::Added, "added" },
  base::EnumName<ChangeKind>{ ChangeKind::Removed, "removed" },
  base::EnumName<ChangeKind>{ ChangeKind::Changed, "changed" },
};

/** A difference between two configurations. */
struct Change
{
  ChangeKind mKind = ChangeKind::Changed;
  std::string mSubject;
  /** The field and its values, for a change. */
  std::string mText;
};

/** What a new configuration changes in the one that is in force. */
auto CompareConfigurations(const dispatch::Configuration& aInForce,
                           const dispatch::Configuration& aNew)
  -> std::vector<Change>;

/** Findings about a new configuration in view of the one that is in force. */
auto CheckSuccession(const dispatch::Configuration& aInForce,
                     const dispatch::Configuration& aNew)
  -> std::vector<Finding>;

/** One line for each finding, and for each change. */
auto Render(const std::vector<Finding>& aFindings) -> std::string;
auto Render(const std::vector<Change>& aChanges) -> std::string;

} // namespace eelgrasspost::configcheck

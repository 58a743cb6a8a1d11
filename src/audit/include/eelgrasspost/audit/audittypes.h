#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "eelgrasspost/base/enumnames.h"

namespace eelgrasspost::audit {

/** Kind of object that was changed. */
enum class AuditObjectKind
{
  Note,
  Quota,
  Job,
  Ownership,
  PlannedStop,
};

inline constexpr auto kAuditObjectKindNames = std::array{
  base::EnumName<AuditObjectKind>{ AuditObjectKind::Note, "note" },
  base::EnumName<AuditObjectKind>{ AuditObjectKind::Quota, "quota" },
  base::EnumName<AuditObjectKind>{ AuditObjectKind::Job, "job" },
  base::EnumName<AuditObjectKind>{ AuditObjectKind::Ownership, "ownership" },
  base::EnumName<AuditObjectKind>{ AuditObjectKind::PlannedStop,
                                   "planned_stop" },
};

/** One change: who changed what and when, with the values before and after. */
struct AuditRecord
{
  AuditObjectKind mKind = AuditObjectKind::Note;
  /** The operator, or the entry if it acted on its own. */
  std::string mActor;
  /** What was done, for example "accept", "cancel" or "claim". */
  std::string mAction;
  /** Name of the object: a revision, a job id or a worker id. */
  std::string mObject;
  /** Milliseconds since the Unix epoch, by the writer's wall clock. */
  std::int64_t mTimestampMs = 0;
  std::string mBefore;
  std::string mAfter;

  auto operator<=>(const AuditRecord&) const = default;
};

/** Selects the records to read; an empty string accepts any value. */
struct AuditFilter
{
  /** Earliest time, in milliseconds since the Unix epoch. */
  std::int64_t mSinceMs = 0;
  std::string mActor;
  std::string mObject;
  /** Maximum number of records returned. */
  std::size_t mLimit = 200;
};

/** How long records are kept. */
struct AuditRetention
{
  static constexpr std::int64_t kDayMs = 24LL * 3600 * 1000;
  std::int64_t mMaxAgeMs = 90 * kDayMs;
};

} // namespace eelgrasspost::audit

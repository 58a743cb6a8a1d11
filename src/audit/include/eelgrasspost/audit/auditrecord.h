#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "eelgrasspost/audit/audittypes.h"
#include "eelgrasspost/platform/platformtypes.h"

namespace eelgrasspost::audit {

/** Prefix of all audit keys, which sort by time. */
inline constexpr std::string_view kAuditKeyPrefix = "audit/";

/**
 * Key of a record: "audit/<milliseconds>/<kind>/<unique>". Two records must
 * not share a key, so the unique part identifies the change itself, for example
 * by its revision, or by a job and its attempt. A repeated commit of the same
 * change then conflicts with its own row.
 */
auto AuditKey(const AuditRecord& aRecord, std::string_view aUnique)
  -> std::string;

/** Lowest key of a time, given in milliseconds since the Unix epoch. */
auto LowestAuditKeyAt(std::int64_t aWhenMs) -> std::string;

/**
 * Returns the write of a record's row. If it is committed in the same
 * transaction as the change, neither exists without the other. Ownership
 * changes are not rows of the table; their records are queued and written
 * later.
 */
auto AuditWrite(const AuditRecord& aRecord, std::string_view aUnique)
  -> platform::TableWrite;

auto EncodeAudit(const AuditRecord& aRecord) -> std::string;
auto DecodeAudit(std::string_view aText) -> absl::StatusOr<AuditRecord>;

/** Returns whether a record passes a filter. */
auto Matches(const AuditFilter& aFilter, const AuditRecord& aRecord) -> bool;

} // namespace eelgrasspost::audit

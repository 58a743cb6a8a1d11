#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "eelgrasspost/audit/audittypes.h"
#include "eelgrasspost/platform/platformtypes.h"

namespace eelgrasspost::audit {

/** All keys start with this; they sort by time. */
inline constexpr std::string_view kAuditKeyPrefix = "audit/";

/**
 * Key of a record: "audit/<milliseconds>/<sort>/<unique>". Two records must
 * not share a key: the unique part names the change itself, for example its
 * revision, or a job with its attempt. A repeated commit of the same change
 * then meets its own row.
 */
auto AuditKey(const AuditRecord& aRecord, std::string_view aUnique)
  -> std::string;

/** Lowest key of a time, in milliseconds since the Unix epoch. */
auto LowestAuditKeyAt(std::int64_t aWhenMs) -> std::string;

/**
 * The write that belongs into the transaction of the change, so that there is
 * no change without a record and no record without a change.
 */
auto AuditWrite(const AuditRecord& aRecord, std::string_view aUnique)
  -> platform::TableWrite;

auto EncodeAudit(const AuditRecord& aRecord) -> std::string;
auto DecodeAudit(std::string_view aText) -> absl::StatusOr<AuditRecord>;

/** Whether a filter accepts a record. */
auto Matches(const AuditFilter& aFilter, const AuditRecord& aRecord) -> bool;

} // namespace eelgrasspost::audit

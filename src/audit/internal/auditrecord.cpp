#include "eelgrasspost/audit/auditrecord.h"

#include "eelgrasspost/audit/auditerrors.h"
#include "eelgrasspost/base/jsonfields.h"
#include "eelgrasspost/base/text.h"

namespace eelgrasspost::audit {

auto LowestAuditKeyAt(std::int64_t aWhenMs) -> std::string
{
  return fmt::format("{}{:015}", kAuditKeyPrefix, aWhenMs);
}

auto AuditKey(const AuditRecord& aRecord, std::string_view aUnique)
  -> std::string
{
  return base::Cat(LowestAuditKeyAt(aRecord.mTimestampMs),
                   "/",
                   base::NameOf(kAuditObjectKindNames, aRecord.mKind),
                   "/",
                   aUnique);
}

auto AuditWrite(const AuditRecord& aRecord, std::string_view aUnique)
  -> platform::TableWrite
{
  return { AuditKey(aRecord, aUnique),
           EncodeAudit(aRecord),
           platform::kAbsent };
}

auto EncodeAudit(const AuditRecord& aRecord) -> std::string
{
  base::json::object out;
  out["sort"] = std::string(base::NameOf(kAuditObjectKindNames, aRecord.mKind));
  out["actor"] = aRecord.mActor;
  out["action"] = aRecord.mAction;
  out["object"] = aRecord.mObject;
  out["when_ms"] = aRecord.mTimestampMs;
  out["before"] = aRecord.mBefore;
  out["after"] = aRecord.mAfter;
  return base::ToText(out);
}

auto DecodeAudit(std::string_view aText) -> absl::StatusOr<AuditRecord>
{
  const auto root = base::ParseObject(aText);
  if (!root.ok()) {
    return base::MakeError(kBadRecord, base::MessageOf(root.status()));
  }
  const auto kindName = base::TextField(*root, "sort");
  const auto kind = base::ValueOf(kAuditObjectKindNames, kindName);
  if (!kind) {
    return base::MakeError(kBadRecord,
                           base::Cat("unknown object kind '", kindName, "'"));
  }
  AuditRecord out;
  out.mKind = *kind;
  out.mActor = base::TextField(*root, "actor");
  out.mAction = base::TextField(*root, "action");
  out.mObject = base::TextField(*root, "object");
  out.mTimestampMs = base::NumberField(*root, "when_ms");
  out.mBefore = base::TextField(*root, "before");
  out.mAfter = base::TextField(*root, "after");
  return out;
}

auto Matches(const AuditFilter& aFilter, const AuditRecord& aRecord) -> bool
{
  if (aRecord.mTimestampMs < aFilter.mSinceMs) {
    return false;
  }
  if (!aFilter.mActor.empty() && aFilter.mActor != aRecord.mActor) {
    return false;
  }
  if (aFilter.mObject.empty() || aFilter.mObject == aRecord.mObject) {
    return true;
  }
  const auto kind = base::NameOf(kAuditObjectKindNames, aRecord.mKind);
  return aFilter.mObject == base::Cat(kind, "/", aRecord.mObject);
}

} // namespace eelgrasspost::audit

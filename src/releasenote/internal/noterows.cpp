#include "noterows.h"

#include "eelgrasspost/audit/auditrecord.h"
#include "eelgrasspost/base/jsonfields.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/releasenote/notecodec.h"
#include "eelgrasspost/releasenote/releasenoteerrors.h"

namespace eelgrasspost::releasenote {

namespace {

constexpr std::uint64_t kCheckpointSlots = 4;

auto MakeAuditRecord(const NoteRevision& aRevision) -> audit::AuditRecord
{
  audit::AuditRecord out;
  out.mKind = audit::AuditObjectKind::Note;
  out.mActor = aRevision.mActor;
  out.mAction = "accept";
  out.mObject = base::Cat(aRevision.mRevision);
  out.mTimestampMs = aRevision.mTimestampMs;
  out.mBefore = base::Cat("revision ", aRevision.mRevision - 1);
  out.mAfter = base::Cat(
    "revision ", aRevision.mRevision, ": ", SummaryOf(aRevision.mNote));
  return out;
}

} // namespace

auto RevisionKey(std::uint64_t aRevision) -> std::string
{
  return fmt::format("{}{:012}", kRevisionPrefix, aRevision);
}

auto ParseHeadRow(const std::optional<platform::TableRow>& aRow)
  -> absl::StatusOr<Head>
{
  if (!aRow) {
    return Head{};
  }
  const auto revision = base::ParseNumber<std::uint64_t>(aRow->mValue);
  if (!revision) {
    return base::MakeError(
      kBadState,
      base::Cat("the head row has no valid revision: '", aRow->mValue, "'"));
  }
  return Head{ *revision, aRow->mVersion };
}

auto AcceptanceWrites(const Head& aHead, const NoteRevision& aRevision)
  -> std::vector<platform::TableWrite>
{
  const auto audit = MakeAuditRecord(aRevision);
  std::vector<platform::TableWrite> out;
  out.push_back(
    { std::string(kHeadKey), base::Cat(aRevision.mRevision), aHead.mVersion });
  out.push_back({ RevisionKey(aRevision.mRevision),
                  EncodeRevision(aRevision),
                  platform::kAbsent });
  out.push_back(audit::AuditWrite(audit, base::Cat(aRevision.mRevision)));
  return out;
}

auto EncodeCheckpoint(const Checkpoint& aCheckpoint) -> std::string
{
  base::json::object out;
  out["revision"] = aCheckpoint.mRevision;
  out["digest"] = fmt::format("{:016x}", aCheckpoint.mDigest);
  out["pieces"] = aCheckpoint.mChunkCount;
  return base::ToText(out);
}

auto DecodeCheckpoint(std::string_view aText) -> absl::StatusOr<Checkpoint>
{
  const auto root = base::ParseObject(aText);
  if (!root.ok()) {
    return base::MakeError(kBadState, base::MessageOf(root.status()));
  }
  constexpr int kHexadecimal = 16;
  Checkpoint out;
  out.mRevision =
    static_cast<std::uint64_t>(base::NumberField(*root, "revision"));
  out.mDigest = std::strtoull(
    base::TextField(*root, "digest").c_str(), nullptr, kHexadecimal);
  out.mChunkCount =
    static_cast<std::uint32_t>(base::NumberField(*root, "pieces"));
  return out;
}

auto CheckpointObject(std::uint64_t aRevision,
                      std::uint64_t aRevisionsPerCheckpoint,
                      std::size_t aChunkIndex) -> std::string
{
  const auto slot = aRevision / aRevisionsPerCheckpoint % kCheckpointSlots;
  return base::Cat("note-state/", slot, "/", aChunkIndex);
}

} // namespace eelgrasspost::releasenote

#include "eelgrasspost/releasenote/notecodec.h"

#include <limits>
#include <set>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/releasenote/releasenoteerrors.h"
#include "speccodec.h"

namespace eelgrasspost::releasenote {

namespace {

constexpr auto kRevisionRange =
  NumberRange{ 0, std::numeric_limits<std::int64_t>::max(), "a revision" };

/** Finds names that a note lists more than once among objects of one kind. */
class DuplicateNameCheck
{
public:
  auto Add(const std::string& aPath,
           const std::string& aName,
           ValidationErrors& aErrors) -> void
  {
    if (!aName.empty() && !mNames.insert(aName).second) {
      aErrors.push_back(base::Cat(
        aPath, ": ", aName, " is listed twice in this note; list it once"));
    }
  }

private:
  std::set<std::string> mNames;
};

template<typename Spec, typename Read>
auto ReadList(FieldReader& aSection,
              std::string_view aKey,
              DuplicateNameCheck& aNames,
              ValidationErrors& aErrors,
              Read aRead) -> std::vector<Spec>
{
  std::vector<Spec> out;
  const auto* list = aSection.Array(aKey);
  for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
    const auto path = base::Cat(aSection.PathOf(aKey), "[", i, "]");
    const auto* object = (*list)[i].if_object();
    if (object == nullptr) {
      aErrors.push_back(path + ": is not an object; write { ... }");
      continue;
    }
    out.push_back(aRead(*object, path, aErrors));
    aNames.Add(path + ".name", out.back().mName, aErrors);
  }
  return out;
}

auto ReadNames(FieldReader& aSection,
               std::string_view aKey,
               DuplicateNameCheck& aNames,
               ValidationErrors& aErrors) -> std::vector<std::string>
{
  std::vector<std::string> out;
  const auto* list = aSection.Array(aKey);
  for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
    const auto path = base::Cat(aSection.PathOf(aKey), "[", i, "]");
    const auto* text = (*list)[i].if_string();
    if (text == nullptr) {
      aErrors.push_back(path + ": is not a string; write a name in quotes");
      continue;
    }
    out.emplace_back(text->data(), text->size());
    aNames.Add(path, out.back(), aErrors);
  }
  return out;
}

auto ReadServices(const json::object& aObject,
                  ReleaseNote& aOut,
                  ValidationErrors& aErrors) -> void
{
  DuplicateNameCheck names;
  auto section = FieldReader(aObject, "services", aErrors);
  aOut.mAddedServices =
    ReadList<ServiceSpec>(section, "add", names, aErrors, ReadService);
  aOut.mChangedServices =
    ReadList<ServiceSpec>(section, "change", names, aErrors, ReadService);
  aOut.mWithdrawnServices = ReadNames(section, "withdraw", names, aErrors);
  section.ReportUnknownFields();
}

auto ReadTeams(const json::object& aObject,
               ReleaseNote& aOut,
               ValidationErrors& aErrors) -> void
{
  DuplicateNameCheck names;
  auto section = FieldReader(aObject, "teams", aErrors);
  aOut.mAddedTeams =
    ReadList<TeamSpec>(section, "add", names, aErrors, ReadTeam);
  aOut.mChangedTeams =
    ReadList<TeamSpec>(section, "change", names, aErrors, ReadTeam);
  aOut.mWithdrawnTeams = ReadNames(section, "withdraw", names, aErrors);
  section.ReportUnknownFields();
}

auto ReadNote(const json::object& aObject, ValidationErrors& aErrors)
  -> ReleaseNote
{
  ReleaseNote out;
  auto reader = FieldReader(aObject, "", aErrors);
  out.mBaseRevision = static_cast<std::uint64_t>(
    reader.Number("base", kRevisionRange, std::nullopt));
  if (const auto* it = reader.Object("services")) {
    ReadServices(*it, out, aErrors);
  }
  if (const auto* it = reader.Object("teams")) {
    ReadTeams(*it, out, aErrors);
  }
  reader.ReportUnknownFields();
  return out;
}

template<typename Spec>
auto SectionToJson(const std::vector<Spec>& aAdded,
                   const std::vector<Spec>& aChanged,
                   const std::vector<std::string>& aWithdrawn) -> json::object
{
  json::object out;
  json::array added;
  for (const auto& it : aAdded) {
    added.push_back(ToJson(it));
  }
  json::array changed;
  for (const auto& it : aChanged) {
    changed.push_back(ToJson(it));
  }
  json::array withdrawn;
  for (const auto& it : aWithdrawn) {
    withdrawn.push_back(json::value(it));
  }
  out["add"] = std::move(added);
  out["change"] = std::move(changed);
  out["withdraw"] = std::move(withdrawn);
  return out;
}

auto NoteToJson(const ReleaseNote& aNote) -> json::object
{
  json::object out;
  out["base"] = aNote.mBaseRevision;
  out["services"] = SectionToJson(
    aNote.mAddedServices, aNote.mChangedServices, aNote.mWithdrawnServices);
  out["teams"] = SectionToJson(
    aNote.mAddedTeams, aNote.mChangedTeams, aNote.mWithdrawnTeams);
  return out;
}

auto MakeValidationError(const base::ErrorKind& aKind,
                         const ValidationErrors& aErrors) -> absl::Status
{
  return base::MakeError(aKind, base::Join(aErrors, "\n"));
}

} // namespace

auto ParseNote(std::string_view aText) -> absl::StatusOr<ReleaseNote>
{
  if (aText.size() > kMaxNoteBytes) {
    return base::MakeError(kBadNote,
                           base::Cat("the note has ",
                                     aText.size(),
                                     " bytes; split it into notes of at most ",
                                     kMaxNoteBytes));
  }
  const auto root = base::ParseObject(aText);
  if (!root.ok()) {
    return base::MakeError(kBadNote, base::MessageOf(root.status()));
  }
  ValidationErrors errors;
  auto note = ReadNote(*root, errors);
  if (!errors.empty()) {
    return MakeValidationError(kBadNote, errors);
  }
  return note;
}

auto EncodeNote(const ReleaseNote& aNote) -> std::string
{
  return base::ToText(NoteToJson(aNote));
}

auto EncodeRevision(const NoteRevision& aRevision) -> std::string
{
  json::object out;
  out["revision"] = aRevision.mRevision;
  out["actor"] = aRevision.mActor;
  out["when_ms"] = aRevision.mTimestampMs;
  out["submission"] = aRevision.mSubmissionId;
  out["digest"] = fmt::format("{:016x}", aRevision.mDigest);
  out["note"] = NoteToJson(aRevision.mNote);
  return base::ToText(out);
}

auto DecodeRevision(std::string_view aText) -> absl::StatusOr<NoteRevision>
{
  const auto root = base::ParseObject(aText);
  const auto* note = root.ok() ? base::ObjectField(*root, "note") : nullptr;
  if (note == nullptr) {
    return base::MakeError(kBadState, "revision has no 'note' field");
  }
  ValidationErrors errors;
  NoteRevision out;
  out.mNote = ReadNote(*note, errors);
  if (!errors.empty()) {
    return MakeValidationError(kBadState, errors);
  }
  out.mRevision =
    static_cast<std::uint64_t>(base::NumberField(*root, "revision"));
  out.mActor = base::TextField(*root, "actor");
  out.mTimestampMs = base::NumberField(*root, "when_ms");
  out.mSubmissionId = base::TextField(*root, "submission");
  constexpr int kHexadecimal = 16;
  out.mDigest = std::strtoull(
    base::TextField(*root, "digest").c_str(), nullptr, kHexadecimal);
  return out;
}

auto SubmissionIdOf(const ReleaseNote& aNote, std::string_view aActor)
  -> std::string
{
  const auto note = EncodeNote(aNote);
  return fmt::format(
    "{:016x}{:016x}", DigestOf(note), DigestOf(base::Cat(aActor, "\n", note)));
}

} // namespace eelgrasspost::releasenote

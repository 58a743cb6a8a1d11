#include "eelgrasspost/releasenote/notecodec.h"

#include <limits>
#include <set>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/releasenote/releasenoteerrors.h"
#include "speccodec.h"

namespace eelgrasspost::releasenote {

namespace {

constexpr auto kRevision =
  NumberRange{ 0, std::numeric_limits<std::int64_t>::max(), "a revision" };

/** Names of one sort that the note has used so far. */
class NamesInNote
{
public:
  auto Add(const std::string& aPlace,
           const std::string& aName,
           Mistakes& aMistakes) -> void
  {
    if (!aName.empty() && !mNames.insert(aName).second) {
      aMistakes.push_back(base::Cat(
        aPlace, ": ", aName, " is named twice in this note; name it once"));
    }
  }

private:
  std::set<std::string> mNames;
};

template<typename Spec, typename Read>
auto ReadList(FieldReader& aSection,
              std::string_view aKey,
              NamesInNote& aNames,
              Mistakes& aMistakes,
              Read aRead) -> std::vector<Spec>
{
  std::vector<Spec> out;
  const auto* list = aSection.Array(aKey);
  for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
    const auto place = base::Cat(aSection.PlaceOf(aKey), "[", i, "]");
    const auto* object = (*list)[i].if_object();
    if (object == nullptr) {
      aMistakes.push_back(place + ": is no object; write { ... }");
      continue;
    }
    out.push_back(aRead(*object, place, aMistakes));
    aNames.Add(place + ".name", out.back().mName, aMistakes);
  }
  return out;
}

auto ReadNames(FieldReader& aSection,
               std::string_view aKey,
               NamesInNote& aNames,
               Mistakes& aMistakes) -> std::vector<std::string>
{
  std::vector<std::string> out;
  const auto* list = aSection.Array(aKey);
  for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
    const auto place = base::Cat(aSection.PlaceOf(aKey), "[", i, "]");
    const auto* text = (*list)[i].if_string();
    if (text == nullptr) {
      aMistakes.push_back(place + ": is no text; write a name in quotes");
      continue;
    }
    out.emplace_back(text->data(), text->size());
    aNames.Add(place, out.back(), aMistakes);
  }
  return out;
}

auto ReadServices(const json::object& aObject,
                  ReleaseNote& aOut,
                  Mistakes& aMistakes) -> void
{
  NamesInNote names;
  auto section = FieldReader(aObject, "services", aMistakes);
  aOut.mAddedServices =
    ReadList<ServiceSpec>(section, "add", names, aMistakes, ReadService);
  aOut.mChangedServices =
    ReadList<ServiceSpec>(section, "change", names, aMistakes, ReadService);
  aOut.mWithdrawnServices = ReadNames(section, "withdraw", names, aMistakes);
  section.Finish();
}

auto ReadTeams(const json::object& aObject,
               ReleaseNote& aOut,
               Mistakes& aMistakes) -> void
{
  NamesInNote names;
  auto section = FieldReader(aObject, "teams", aMistakes);
  aOut.mAddedTeams =
    ReadList<TeamSpec>(section, "add", names, aMistakes, ReadTeam);
  aOut.mChangedTeams =
    ReadList<TeamSpec>(section, "change", names, aMistakes, ReadTeam);
  aOut.mWithdrawnTeams = ReadNames(section, "withdraw", names, aMistakes);
  section.Finish();
}

auto ReadNote(const json::object& aObject, Mistakes& aMistakes) -> ReleaseNote
{
  ReleaseNote out;
  auto reader = FieldReader(aObject, "", aMistakes);
  out.mBaseRevision =
    static_cast<std::uint64_t>(reader.Number("base", kRevision, std::nullopt));
  if (const auto* it = reader.Object("services")) {
    ReadServices(*it, out, aMistakes);
  }
  if (const auto* it = reader.Object("teams")) {
    ReadTeams(*it, out, aMistakes);
  }
  reader.Finish();
  return out;
}

template<typename Spec>
auto Section(const std::vector<Spec>& aAdded,
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
  out["services"] = Section(
    aNote.mAddedServices, aNote.mChangedServices, aNote.mWithdrawnServices);
  out["teams"] =
    Section(aNote.mAddedTeams, aNote.mChangedTeams, aNote.mWithdrawnTeams);
  return out;
}

auto ErrorOf(const base::ErrorKind& aKind, const Mistakes& aMistakes)
  -> absl::Status
{
  return base::MakeError(aKind, base::Join(aMistakes, "\n"));
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
  Mistakes mistakes;
  auto note = ReadNote(*root, mistakes);
  if (!mistakes.empty()) {
    return ErrorOf(kBadNote, mistakes);
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
    return base::MakeError(kBadState, "a revision without its note");
  }
  Mistakes mistakes;
  NoteRevision out;
  out.mNote = ReadNote(*note, mistakes);
  if (!mistakes.empty()) {
    return ErrorOf(kBadState, mistakes);
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

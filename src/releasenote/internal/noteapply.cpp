#include "noteapply.h"

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/releasenote/notecodec.h"
#include "eelgrasspost/releasenote/releasenoteerrors.h"

namespace eelgrasspost::releasenote {

namespace {

template<typename Spec>
struct NoteSection
{
  std::string_view mKey;
  SpecTable<Spec> ReleaseState::*mTable;
  const std::vector<Spec>& mAdded;
  const std::vector<Spec>& mChanged;
  const std::vector<std::string>& mWithdrawn;
};

auto ServicesOf(const ReleaseNote& aNote) -> NoteSection<ServiceSpec>
{
  return { "services",
           &ReleaseState::mServices,
           aNote.mAddedServices,
           aNote.mChangedServices,
           aNote.mWithdrawnServices };
}

auto TeamsOf(const ReleaseNote& aNote) -> NoteSection<TeamSpec>
{
  return { "teams",
           &ReleaseState::mTeams,
           aNote.mAddedTeams,
           aNote.mChangedTeams,
           aNote.mWithdrawnTeams };
}

template<typename Spec>
auto CheckSection(const ReleaseState& aState,
                  const NoteSection<Spec>& aSection,
                  ValidationErrors& aErrors) -> void
{
  const auto& specs = aState.*aSection.mTable;
  const auto check = [&](std::string_view aList,
                         std::size_t aIndex,
                         const std::string& aName,
                         bool aMustExist) {
    const auto exists = specs.Find(aName) != nullptr;
    if (exists == aMustExist) {
      return;
    }
    const auto* text = exists
                         ? " already exists; move it to 'change'"
                         : " does not exist; correct the name or add it first";
    aErrors.push_back(
      base::Cat(aSection.mKey, ".", aList, "[", aIndex, "]: ", aName, text));
  };
  for (std::size_t i = 0; i < aSection.mAdded.size(); ++i) {
    check("add", i, aSection.mAdded[i].mName, false);
  }
  for (std::size_t i = 0; i < aSection.mChanged.size(); ++i) {
    check("change", i, aSection.mChanged[i].mName, true);
  }
  for (std::size_t i = 0; i < aSection.mWithdrawn.size(); ++i) {
    check("withdraw", i, aSection.mWithdrawn[i], true);
  }
}

template<typename Spec>
auto ApplySection(ReleaseState& aState, const NoteSection<Spec>& aSection)
  -> void
{
  auto& specs = aState.*aSection.mTable;
  for (const auto& name : aSection.mWithdrawn) {
    EraseSpec(aState, specs, name);
  }
  for (const auto& spec : aSection.mChanged) {
    PutSpec(aState, specs, spec);
  }
  for (const auto& spec : aSection.mAdded) {
    PutSpec(aState, specs, spec);
  }
}

template<typename Spec>
auto PlanSection(const ReleaseState& aState,
                 const NoteSection<Spec>& aSection,
                 const std::string& aKind,
                 std::vector<PlannedChange>& aOut) -> void
{
  const auto& specs = aState.*aSection.mTable;
  const auto textOf = [](const Spec* aSpec) {
    return aSpec == nullptr ? std::string() : base::ToText(ToJson(*aSpec));
  };
  for (const auto& it : aSection.mAdded) {
    aOut.push_back({ aKind, "add", it.mName, "", textOf(&it) });
  }
  for (const auto& it : aSection.mChanged) {
    aOut.push_back(
      { aKind, "change", it.mName, textOf(specs.Find(it.mName)), textOf(&it) });
  }
  for (const auto& it : aSection.mWithdrawn) {
    aOut.push_back({ aKind, "withdraw", it, textOf(specs.Find(it)), "" });
  }
}

template<typename Spec>
auto CountsText(const NoteSection<Spec>& aSection) -> std::string
{
  return fmt::format("{} +{} ~{} -{}",
                     aSection.mKey,
                     aSection.mAdded.size(),
                     aSection.mChanged.size(),
                     aSection.mWithdrawn.size());
}

auto CheckNote(const ReleaseState& aState, const ReleaseNote& aNote)
  -> ValidationErrors
{
  ValidationErrors out;
  CheckSection(aState, ServicesOf(aNote), out);
  CheckSection(aState, TeamsOf(aNote), out);
  return out;
}

} // namespace

auto ReleaseState::FindService(std::string_view aName) const
  -> const ServiceSpec*
{
  return mServices.Find(aName);
}

auto ReleaseState::FindTeam(std::string_view aName) const -> const TeamSpec*
{
  return mTeams.Find(aName);
}

auto ApplyNote(const ReleaseState& aState, const ReleaseNote& aNote)
  -> absl::StatusOr<ReleaseState>
{
  const auto errors = CheckNote(aState, aNote);
  if (!errors.empty()) {
    return base::MakeError(kBadNote, base::Join(errors, "\n"));
  }
  auto next = aState;
  next.mRevision = aState.mRevision + 1;
  ApplySection(next, ServicesOf(aNote));
  ApplySection(next, TeamsOf(aNote));
  return next;
}

auto ApplyRevision(const ReleaseState& aState, const NoteRevision& aRevision)
  -> absl::StatusOr<ReleaseState>
{
  if (aRevision.mRevision != aState.mRevision + 1) {
    return base::MakeError(kBadState,
                           base::Cat("revision ",
                                     aRevision.mRevision,
                                     " does not follow revision ",
                                     aState.mRevision));
  }
  auto next = ApplyNote(aState, aRevision.mNote);
  if (!next.ok()) {
    return base::MakeError(kBadState, base::MessageOf(next.status()));
  }
  if (next->mDigest != aRevision.mDigest) {
    return base::MakeError(kBadState,
                           base::Cat("the digest of the state at revision ",
                                     next->mRevision,
                                     " does not match"));
  }
  return next;
}

auto PlanNote(const ReleaseState& aState, const ReleaseNote& aNote)
  -> absl::StatusOr<std::vector<PlannedChange>>
{
  const auto errors = CheckNote(aState, aNote);
  if (!errors.empty()) {
    return base::MakeError(kBadNote, base::Join(errors, "\n"));
  }
  std::vector<PlannedChange> out;
  PlanSection(aState, ServicesOf(aNote), "service", out);
  PlanSection(aState, TeamsOf(aNote), "team", out);
  return out;
}

auto SummaryOf(const ReleaseNote& aNote) -> std::string
{
  return CountsText(ServicesOf(aNote)) + ", " + CountsText(TeamsOf(aNote));
}

} // namespace eelgrasspost::releasenote

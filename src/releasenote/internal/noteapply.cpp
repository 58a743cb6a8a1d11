#include <algorithm>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/releasenote/notecodec.h"
#include "eelgrasspost/releasenote/releasenoteerrors.h"

namespace eelgrasspost::releasenote {

namespace {

using Errors = std::vector<std::string>;

template<typename Spec>
auto Find(std::vector<Spec>& aSpecs, std::string_view aName)
{
  return std::ranges::find(aSpecs, aName, &Spec::mName);
}

/** Adds, changes and withdraws the objects of one sort. */
template<typename Spec>
auto ApplySection(std::string_view aSort,
                  std::vector<Spec>& aSpecs,
                  const std::vector<Spec>& aAdded,
                  const std::vector<Spec>& aChanged,
                  const std::vector<std::string>& aWithdrawn,
                  Errors& aErrors) -> void
{
  for (const auto& name : aWithdrawn) {
    auto it = Find(aSpecs, name);
    if (it == aSpecs.end()) {
      aErrors.push_back(base::Cat(
        aSort, ".withdraw: ", name, " is not in force; leave it out"));
      continue;
    }
    aSpecs.erase(it);
  }
  for (const auto& spec : aChanged) {
    auto it = Find(aSpecs, spec.mName);
    if (it == aSpecs.end()) {
      aErrors.push_back(base::Cat(
        aSort, ".change: ", spec.mName, " is not in force; add it instead"));
      continue;
    }
    *it = spec;
  }
  for (const auto& spec : aAdded) {
    if (Find(aSpecs, spec.mName) != aSpecs.end()) {
      aErrors.push_back(base::Cat(aSort,
                                  ".add: ",
                                  spec.mName,
                                  " is in force already; change it instead"));
      continue;
    }
    aSpecs.push_back(spec);
  }
}

} // namespace

auto ReleaseState::FindService(std::string_view aName) const
  -> const ServiceSpec*
{
  const auto it = std::ranges::find(mServices, aName, &ServiceSpec::mName);
  return it == mServices.end() ? nullptr : &*it;
}

auto ReleaseState::FindTeam(std::string_view aName) const -> const TeamSpec*
{
  const auto it = std::ranges::find(mTeams, aName, &TeamSpec::mName);
  return it == mTeams.end() ? nullptr : &*it;
}

auto ApplyNote(const ReleaseState& aState, const ReleaseNote& aNote)
  -> absl::StatusOr<ReleaseState>
{
  Errors errors;
  auto next = aState;
  next.mRevision = aState.mRevision + 1;
  ApplySection("services",
               next.mServices,
               aNote.mAddedServices,
               aNote.mChangedServices,
               aNote.mWithdrawnServices,
               errors);
  ApplySection("teams",
               next.mTeams,
               aNote.mAddedTeams,
               aNote.mChangedTeams,
               aNote.mWithdrawnTeams,
               errors);
  if (!errors.empty()) {
    return base::MakeError(kBadNote, base::Join(errors, "\n"));
  }
  return next;
}

} // namespace eelgrasspost::releasenote

#pragma once

#include "speccodec.h"

namespace eelgrasspost::releasenote {

/** Adds or replaces a spec in a table of a state and updates the state's
 * digest. */
template<typename Spec>
auto PutSpec(ReleaseState& aState, SpecTable<Spec>& aSpecs, Spec aSpec) -> void
{
  if (const auto* old = aSpecs.Find(aSpec.mName)) {
    aState.mDigest ^= SpecDigest(*old);
  }
  aState.mDigest ^= SpecDigest(aSpec);
  aSpecs.Put(std::move(aSpec));
}

template<typename Spec>
auto EraseSpec(ReleaseState& aState,
               SpecTable<Spec>& aSpecs,
               std::string_view aName) -> void
{
  if (const auto* old = aSpecs.Find(aName)) {
    aState.mDigest ^= SpecDigest(*old);
    aSpecs.Erase(aName);
  }
}

} // namespace eelgrasspost::releasenote

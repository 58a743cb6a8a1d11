#pragma once

#include "eelgrasspost/releasenote/releasenotetypes.h"
#include "fieldreader.h"

namespace eelgrasspost::releasenote {

auto ReadService(const json::object& aObject,
                 const std::string& aPlace,
                 Mistakes& aMistakes) -> ServiceSpec;
auto ReadTeam(const json::object& aObject,
              const std::string& aPlace,
              Mistakes& aMistakes) -> TeamSpec;

auto ToJson(const ServiceSpec& aService) -> json::object;
auto ToJson(const TeamSpec& aTeam) -> json::object;

auto DigestOf(std::string_view aText) -> std::uint64_t;

/** Digest of one spec; a state's is their exclusive or. */
template<typename Spec>
auto SpecDigest(const Spec& aSpec) -> std::uint64_t
{
  return DigestOf(base::ToText(ToJson(aSpec)));
}

} // namespace eelgrasspost::releasenote

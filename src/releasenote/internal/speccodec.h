#pragma once

#include "eelgrasspost/releasenote/releasenotetypes.h"
#include "fieldreader.h"

namespace eelgrasspost::releasenote {

auto ReadService(const json::object& aObject,
                 const std::string& aPath,
                 ValidationErrors& aErrors) -> ServiceSpec;
auto ReadTeam(const json::object& aObject,
              const std::string& aPath,
              ValidationErrors& aErrors) -> TeamSpec;

auto ToJson(const ServiceSpec& aService) -> json::object;
auto ToJson(const TeamSpec& aTeam) -> json::object;

auto DigestOf(std::string_view aText) -> std::uint64_t;

/** Digest of one spec; the digest of a state is the XOR of all of them. */
template<typename Spec>
auto SpecDigest(const Spec& aSpec) -> std::uint64_t
{
  return DigestOf(base::ToText(ToJson(aSpec)));
}

} // namespace eelgrasspost::releasenote

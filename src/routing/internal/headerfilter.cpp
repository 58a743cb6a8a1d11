#include "headerfilter.h"

#include <algorithm>
#include <array>
#include <span>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/platform/iworker.h"

namespace eelgrasspost::routing {

namespace {

using net::HttpField;
using Names = std::span<const std::string_view>;

constexpr auto kHopByHopFields = std::array<std::string_view, 12>{
  "Connection", "Keep-Alive", "Proxy-Connection",    "Proxy-Authenticate",
  "TE",         "Trailer",    "Proxy-Authorization", "Content-Length",
  "Upgrade",    "Host",       "Transfer-Encoding",   "Expect",
};

constexpr auto kControlFields = std::array<std::string_view, 6>{
  platform::kFencingTokenField, platform::kAttemptIdField,
  platform::kRequestIdField,    platform::kDeadlineField,
  platform::kRefusedField,      "Outcome",
};

auto ContainsIgnoreCase(Names aNames, std::string_view aName) -> bool
{
  return std::ranges::any_of(aNames, [&](std::string_view aOther) {
    return base::EqualsIgnoreCase(aOther, aName);
  });
}

/** Names of further hop-by-hop fields, listed in the Connection field. */
auto ConnectionOptions(const std::vector<HttpField>& aFields)
  -> std::vector<std::string>
{
  std::vector<std::string> out;
  for (const auto& it : aFields) {
    if (base::EqualsIgnoreCase(it.mName, "Connection")) {
      auto names = base::Split(it.mValue, ',');
      std::ranges::move(names, std::back_inserter(out));
    }
  }
  return out;
}

auto FilterFields(const std::vector<HttpField>& aFields)
  -> std::vector<HttpField>
{
  const auto named = ConnectionOptions(aFields);
  const auto isNamed = [&](const HttpField& aField) {
    return std::ranges::any_of(named, [&](const std::string& aName) {
      return base::EqualsIgnoreCase(aName, aField.mName);
    });
  };
  std::vector<HttpField> out;
  for (const auto& it : aFields) {
    if (!ContainsIgnoreCase(kHopByHopFields, it.mName) &&
        !ContainsIgnoreCase(kControlFields, it.mName) && !isNamed(it)) {
      out.push_back(it);
    }
  }
  return out;
}

} // namespace

auto FilterRequestFields(const std::vector<HttpField>& aFields)
  -> std::vector<HttpField>
{
  return FilterFields(aFields);
}

auto FilterResponseFields(const std::vector<HttpField>& aFields)
  -> std::vector<HttpField>
{
  return FilterFields(aFields);
}

} // namespace eelgrasspost::routing

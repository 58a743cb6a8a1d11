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

constexpr auto kHopByHop = std::array<std::string_view, 12>{
  "Connection", "Keep-Alive", "Proxy-Connection",    "Proxy-Authenticate",
  "TE",         "Trailer",    "Proxy-Authorization", "Content-Length",
  "Upgrade",    "Host",       "Transfer-Encoding",   "Expect",
};

constexpr auto kControl = std::array<std::string_view, 6>{
  platform::kFencingTokenField, platform::kAttemptIdField,
  platform::kRequestIdField,    platform::kDeadlineField,
  platform::kRefusedField,      "Outcome",
};

auto IsIn(Names aNames, std::string_view aName) -> bool
{
  return std::ranges::any_of(aNames, [&](std::string_view aOther) {
    return base::EqualsIgnoreCase(aOther, aName);
  });
}

/** Fields that a message itself declares to belong to its connection. */
auto NamedInConnection(const std::vector<HttpField>& aFields)
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

auto WithoutOwn(const std::vector<HttpField>& aFields) -> std::vector<HttpField>
{
  const auto named = NamedInConnection(aFields);
  const auto isNamed = [&](const HttpField& aField) {
    return std::ranges::any_of(named, [&](const std::string& aName) {
      return base::EqualsIgnoreCase(aName, aField.mName);
    });
  };
  std::vector<HttpField> out;
  for (const auto& it : aFields) {
    if (!IsIn(kHopByHop, it.mName) && !IsIn(kControl, it.mName) &&
        !isNamed(it)) {
      out.push_back(it);
    }
  }
  return out;
}

} // namespace

auto FieldsForEndpoint(const std::vector<HttpField>& aFields)
  -> std::vector<HttpField>
{
  return WithoutOwn(aFields);
}

auto FieldsForCaller(const std::vector<HttpField>& aFields)
  -> std::vector<HttpField>
{
  return WithoutOwn(aFields);
}

} // namespace eelgrasspost::routing

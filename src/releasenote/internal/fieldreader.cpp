#include "fieldreader.h"

#include <algorithm>

#include "eelgrasspost/base/text.h"

namespace eelgrasspost::releasenote {

namespace {

constexpr std::size_t kMaxNameLength = 128;

auto IsNameCharacter(char aCharacter) -> bool
{
  constexpr std::string_view kPunctuation = "-_.";
  const auto isDigit = aCharacter >= '0' && aCharacter <= '9';
  const auto isLower = aCharacter >= 'a' && aCharacter <= 'z';
  const auto isUpper = aCharacter >= 'A' && aCharacter <= 'Z';
  return isDigit || isLower || isUpper ||
         kPunctuation.find(aCharacter) != std::string_view::npos;
}

} // namespace

FieldReader::FieldReader(const json::object& aObject,
                         std::string aPath,
                         ValidationErrors& aErrors)
  : mObject(aObject)
  , mPath(std::move(aPath))
  , mErrors(aErrors)
{
}

auto FieldReader::PathOf(std::string_view aKey) const -> std::string
{
  return mPath.empty() ? std::string(aKey) : base::Cat(mPath, ".", aKey);
}

auto FieldReader::AddError(std::string_view aKey, std::string_view aText)
  -> void
{
  mErrors.push_back(base::Cat(PathOf(aKey), ": ", aText));
}

auto FieldReader::Has(std::string_view aKey) const -> bool
{
  return mObject.contains({ aKey.data(), aKey.size() });
}

auto FieldReader::Find(std::string_view aKey) -> const json::value*
{
  mKnownKeys.push_back(aKey);
  return mObject.if_contains({ aKey.data(), aKey.size() });
}

auto FieldReader::Text(std::string_view aKey) -> std::string
{
  const auto* it = Find(aKey);
  if (it == nullptr) {
    AddError(aKey, "is missing; write a string");
    return {};
  }
  if (!it->is_string()) {
    AddError(
      aKey, base::Cat(base::ToText(*it), " is not a string; put it in quotes"));
    return {};
  }
  return { it->get_string().data(), it->get_string().size() };
}

auto FieldReader::Name(std::string_view aKey) -> std::string
{
  const auto before = mErrors.size();
  auto name = Text(aKey);
  const auto isValid = !name.empty() && name.size() <= kMaxNameLength &&
                       std::ranges::all_of(name, IsNameCharacter);
  if (!isValid && mErrors.size() == before) {
    AddError(aKey,
             base::Cat("'",
                       name.substr(0, kMaxNameLength),
                       "' is not a valid name; write 1 to ",
                       kMaxNameLength,
                       " letters, digits, '-', '_' or '.'"));
  }
  return name;
}

auto FieldReader::Number(std::string_view aKey,
                         const NumberRange& aRange,
                         std::optional<std::int64_t> aFallback) -> std::int64_t
{
  const auto remedy = base::Cat(
    "write ", aRange.mUnit, " from ", aRange.mMin, " to ", aRange.mMax);
  const auto* it = Find(aKey);
  if (it == nullptr) {
    if (!aFallback) {
      AddError(aKey, "is missing; " + remedy);
    }
    return aFallback.value_or(aRange.mMin);
  }
  boost::system::error_code ec;
  const auto n = it->is_double() ? 0 : it->to_number<std::int64_t>(ec);
  if (it->is_double() || ec) {
    AddError(aKey,
             base::Cat(base::ToText(*it), " is not an integer; ", remedy));
    return aRange.mMin;
  }
  if (n < aRange.mMin || n > aRange.mMax) {
    AddError(aKey, base::Cat(n, " is out of range; ", remedy));
  }
  return n;
}

auto FieldReader::Bool(std::string_view aKey, bool aFallback) -> bool
{
  const auto* it = Find(aKey);
  if (it == nullptr) {
    return aFallback;
  }
  if (!it->is_bool()) {
    AddError(aKey, base::Cat(base::ToText(*it), " is neither true nor false"));
    return aFallback;
  }
  return it->get_bool();
}

auto FieldReader::Array(std::string_view aKey) -> const json::array*
{
  const auto* it = Find(aKey);
  if (it != nullptr && !it->is_array()) {
    AddError(aKey, "is not an array; write [ ... ]");
    return nullptr;
  }
  return it == nullptr ? nullptr : it->if_array();
}

auto FieldReader::Object(std::string_view aKey) -> const json::object*
{
  const auto* it = Find(aKey);
  if (it != nullptr && !it->is_object()) {
    AddError(aKey, "is not an object; write { ... }");
    return nullptr;
  }
  return it == nullptr ? nullptr : it->if_object();
}

auto FieldReader::ReportUnknownFields() -> void
{
  for (const auto& it : mObject) {
    const auto key = std::string_view(it.key().data(), it.key().size());
    if (std::ranges::find(mKnownKeys, key) == mKnownKeys.end()) {
      const std::vector<std::string> known(mKnownKeys.begin(),
                                           mKnownKeys.end());
      AddError(
        key, "is unknown; remove it or use one of " + base::Join(known, ", "));
    }
  }
}

} // namespace eelgrasspost::releasenote

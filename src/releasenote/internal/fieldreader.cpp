#include "fieldreader.h"

#include <algorithm>

#include "eelgrasspost/base/text.h"

namespace eelgrasspost::releasenote {

namespace {

constexpr std::size_t kNameLimit = 128;

auto IsNameCharacter(char aCharacter) -> bool
{
  constexpr std::string_view kMarks = "-_.";
  const auto isDigit = aCharacter >= '0' && aCharacter <= '9';
  const auto isLower = aCharacter >= 'a' && aCharacter <= 'z';
  const auto isUpper = aCharacter >= 'A' && aCharacter <= 'Z';
  return isDigit || isLower || isUpper ||
         kMarks.find(aCharacter) != std::string_view::npos;
}

} // namespace

FieldReader::FieldReader(const json::object& aObject,
                         std::string aPlace,
                         Mistakes& aMistakes)
  : mObject(aObject)
  , mPlace(std::move(aPlace))
  , mMistakes(aMistakes)
{
}

auto FieldReader::PlaceOf(std::string_view aKey) const -> std::string
{
  return mPlace.empty() ? std::string(aKey) : base::Cat(mPlace, ".", aKey);
}

auto FieldReader::Mistake(std::string_view aKey, std::string_view aText) -> void
{
  mMistakes.push_back(base::Cat(PlaceOf(aKey), ": ", aText));
}

auto FieldReader::Has(std::string_view aKey) const -> bool
{
  return mObject.contains({ aKey.data(), aKey.size() });
}

auto FieldReader::Find(std::string_view aKey) -> const json::value*
{
  mKnown.push_back(aKey);
  return mObject.if_contains({ aKey.data(), aKey.size() });
}

auto FieldReader::Text(std::string_view aKey) -> std::string
{
  const auto* it = Find(aKey);
  if (it == nullptr) {
    Mistake(aKey, "is missing; write a text");
    return {};
  }
  if (!it->is_string()) {
    Mistake(aKey, base::Cat(base::ToText(*it), " is no text; quote it"));
    return {};
  }
  return { it->get_string().data(), it->get_string().size() };
}

auto FieldReader::Name(std::string_view aKey) -> std::string
{
  const auto before = mMistakes.size();
  auto name = Text(aKey);
  const auto isGood = !name.empty() && name.size() <= kNameLimit &&
                      std::ranges::all_of(name, IsNameCharacter);
  if (!isGood && mMistakes.size() == before) {
    Mistake(aKey,
            base::Cat("'",
                      name.substr(0, kNameLimit),
                      "' is no name; write 1 to ",
                      kNameLimit,
                      " letters, digits, '-', '_' or '.'"));
  }
  return name;
}

auto FieldReader::Number(std::string_view aKey,
                         const NumberRange& aRange,
                         std::optional<std::int64_t> aFallback) -> std::int64_t
{
  const auto remedy = base::Cat(
    "write ", aRange.mUnit, " from ", aRange.mLowest, " to ", aRange.mHighest);
  const auto* it = Find(aKey);
  if (it == nullptr) {
    if (!aFallback) {
      Mistake(aKey, "is missing; " + remedy);
    }
    return aFallback.value_or(aRange.mLowest);
  }
  boost::system::error_code ec;
  const auto n = it->is_double() ? 0 : it->to_number<std::int64_t>(ec);
  if (it->is_double() || ec) {
    Mistake(aKey,
            base::Cat(base::ToText(*it), " is no whole number; ", remedy));
    return aRange.mLowest;
  }
  if (n < aRange.mLowest || n > aRange.mHighest) {
    Mistake(aKey, base::Cat(n, " is out of range; ", remedy));
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
    Mistake(aKey, base::Cat(base::ToText(*it), " is neither true nor false"));
    return aFallback;
  }
  return it->get_bool();
}

auto FieldReader::Array(std::string_view aKey) -> const json::array*
{
  const auto* it = Find(aKey);
  if (it != nullptr && !it->is_array()) {
    Mistake(aKey, "is no list; write [ ... ]");
    return nullptr;
  }
  return it == nullptr ? nullptr : it->if_array();
}

auto FieldReader::Object(std::string_view aKey) -> const json::object*
{
  const auto* it = Find(aKey);
  if (it != nullptr && !it->is_object()) {
    Mistake(aKey, "is no object; write { ... }");
    return nullptr;
  }
  return it == nullptr ? nullptr : it->if_object();
}

auto FieldReader::Finish() -> void
{
  for (const auto& it : mObject) {
    const auto key = std::string_view(it.key().data(), it.key().size());
    if (std::ranges::find(mKnown, key) == mKnown.end()) {
      const std::vector<std::string> known(mKnown.begin(), mKnown.end());
      Mistake(key,
              "is unknown; remove it or use one of " + base::Join(known, ", "));
    }
  }
}

} // namespace eelgrasspost::releasenote

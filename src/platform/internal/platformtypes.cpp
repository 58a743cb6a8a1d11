#include "eelgrasspost/platform/platformtypes.h"

#include "eelgrasspost/base/text.h"

namespace eelgrasspost::platform {

auto ToString(const FencingToken& aToken) -> std::string
{
  return base::Cat(aToken.mNumber, ".", aToken.mHolder);
}

auto ParseFencingToken(std::string_view aText) -> std::optional<FencingToken>
{
  const auto dot = aText.find('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const auto number = base::ParseNumber<std::uint64_t>(aText.substr(0, dot));
  if (!number) {
    return std::nullopt;
  }
  return FencingToken{ *number, std::string(aText.substr(dot + 1)) };
}

} // namespace eelgrasspost::platform

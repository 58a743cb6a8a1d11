#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace eelgrasspost::net {

/** An IP address and a port. */
struct Address
{
  std::string mIp;
  std::uint16_t mPort = 0;

  auto operator<=>(const Address&) const = default;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mIp, mPort);
  }
};

/** Parses "IP:PORT". The IP must be a literal; host names are not resolved. */
auto ParseAddress(std::string_view aText) -> absl::StatusOr<Address>;

/** Formats an address as "IP:PORT". */
auto ToString(const Address& aAddress) -> std::string;

} // namespace eelgrasspost::net

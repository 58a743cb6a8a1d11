#include "eelgrasspost/net/address.h"

#include "eelgrasspost/base/text.h"
#include <boost/asio/ip/address.hpp>

namespace eelgrasspost::net {

auto ParseAddress(std::string_view aText) -> absl::StatusOr<Address>
{
  const auto colon = aText.rfind(':');
  auto error = absl::InvalidArgumentError(base::Cat(
    "'", aText, "' is not an address; write IP:PORT, such as 127.0.0.1:8080"));
  if (colon == std::string_view::npos) {
    return error;
  }
  const auto port = base::ParseNumber<std::uint16_t>(aText.substr(colon + 1));
  if (!port) {
    return error;
  }
  const auto ip = std::string(aText.substr(0, colon));
  boost::system::error_code ec;
  boost::asio::ip::make_address(ip, ec);
  if (ec) {
    return error;
  }
  return Address{ ip, *port };
}

auto ToString(const Address& aAddress) -> std::string
{
  return base::Cat(aAddress.mIp, ":", aAddress.mPort);
}

} // namespace eelgrasspost::net

#pragma once

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>

#include "eelgrasspost/net/address.h"

namespace eelgrasspost::net {

/** Binds an acceptor and starts listening; returns the bound address. */
auto OpenAcceptor(boost::asio::ip::tcp::acceptor& aAcceptor,
                  const Address& aAddress) -> absl::StatusOr<Address>;

} // namespace eelgrasspost::net

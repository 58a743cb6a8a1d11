#pragma once

#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/net/address.h"
#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::net {

/** Opens a socket and connects it. The socket is closed if that takes too long,
 * and is left alone after the task has ended. aBindIp: the local address; empty
 * for any. */
auto Connect(asio::ip::tcp::socket& aSocket,
             const Address& aAddress,
             const std::string& aBindIp,
             base::MonotonicTime aDeadline) -> Task<boost::system::error_code>;

} // namespace eelgrasspost::net

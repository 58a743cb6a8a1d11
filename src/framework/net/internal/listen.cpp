#include "listen.h"

#include "eelgrasspost/base/text.h"

namespace eelgrasspost::net {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

auto OpenAcceptor(Tcp::acceptor& aAcceptor, const Address& aAddress)
  -> absl::StatusOr<Address>
{
  try {
    const auto ip = asio::ip::make_address(aAddress.mIp);
    const auto endpoint = Tcp::endpoint(ip, aAddress.mPort);
    aAcceptor.open(endpoint.protocol());
    aAcceptor.set_option(Tcp::acceptor::reuse_address(true));
    aAcceptor.bind(endpoint);
    aAcceptor.listen();
    const auto bound = aAcceptor.local_endpoint();
    return Address{ bound.address().to_string(), bound.port() };
  } catch (const boost::system::system_error& e) {
    return absl::UnavailableError(
      base::Cat("cannot listen on ",
                ToString(aAddress),
                ": ",
                e.what(),
                "; choose another port or stop the process that uses it"));
  }
}

} // namespace eelgrasspost::net

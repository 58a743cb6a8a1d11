#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "eelgrasspost/net/address.h"
#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::net {

/** Longest datagram of UDP over IPv4; longer ones are not sent. */
inline constexpr std::size_t kMaxDatagramBytes = 65507;

/** A UDP socket that is used on thread 0 of a pool. */
class DatagramSocket
{
public:
  using Handler = std::function<void(std::string_view)>;

  explicit DatagramSocket(IoPool& aPool);
  ~DatagramSocket();

  /** Binds the socket and starts receiving; the handler runs on thread 0. */
  auto Bind(const Address& aAddress, Handler aHandler)
    -> absl::StatusOr<Address>;
  /** Sends without blocking; a datagram that cannot be sent is dropped. */
  auto Send(const Address& aTo, std::string_view aBytes) -> void;
  auto Close() -> void;

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace eelgrasspost::net

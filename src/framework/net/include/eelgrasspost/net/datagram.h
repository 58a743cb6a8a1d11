#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "eelgrasspost/net/address.h"
#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::net {

/** Longest datagram that is sent or taken in, in bytes. */
inline constexpr std::size_t kDatagramLimit = 8 * 1024;

/** A UDP socket on thread 0 of a pool. */
class DatagramSocket
{
public:
  using Handler = std::function<void(std::string_view)>;

  explicit DatagramSocket(IoPool& aPool);
  ~DatagramSocket();

  /** Binds and starts to receive; the handler runs on thread 0. */
  auto Bind(const Address& aAddress, Handler aHandler)
    -> absl::StatusOr<Address>;
  /** Sends without waiting; a datagram that cannot be sent is lost. */
  auto Send(const Address& aTo, std::string_view aBytes) -> void;
  auto Close() -> void;

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace eelgrasspost::net

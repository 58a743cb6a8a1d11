#pragma once

#include <array>
#include <cstdint>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "eelgrasspost/net/messages.h"

namespace eelgrasspost::net {

/** A message on a TCP connection between entries. */
struct Frame
{
  std::uint64_t mCorrelationId = 0;
  std::uint16_t mKind = 0;
  std::string mBytes;
};

/** Size of the header of a frame: length, correlation id and kind. */
inline constexpr std::size_t kFrameHeaderBytes = 4 + 8 + 2;

inline auto PutBigEndian(std::string& aOut, std::uint64_t aValue, int aBytes)
  -> void
{
  for (int i = aBytes - 1; i >= 0; --i) {
    aOut.push_back(static_cast<char>((aValue >> (8 * i)) & 0xFF));
  }
}

inline auto GetBigEndian(const char* aBytes, int aCount) -> std::uint64_t
{
  std::uint64_t n = 0;
  for (int i = 0; i < aCount; ++i) {
    n = (n << 8) | static_cast<unsigned char>(aBytes[i]);
  }
  return n;
}

inline auto EncodeFrame(const Frame& aFrame) -> std::string
{
  std::string out;
  out.reserve(kFrameHeaderBytes + aFrame.mBytes.size());
  PutBigEndian(out, aFrame.mBytes.size(), 4);
  PutBigEndian(out, aFrame.mCorrelationId, 8);
  PutBigEndian(out, aFrame.mKind, 2);
  out += aFrame.mBytes;
  return out;
}

/** Reads a frame; a payload larger than kMaxMessageBytes is an error. */
inline auto ReadFrame(asio::ip::tcp::socket& aSocket,
                      Frame& aFrame,
                      boost::system::error_code& aError) -> Task<void>
{
  auto header = std::array<char, kFrameHeaderBytes>();
  co_await asio::async_read(aSocket,
                            asio::buffer(header),
                            asio::redirect_error(asio::use_awaitable, aError));
  if (aError) {
    co_return;
  }
  const auto length = GetBigEndian(header.data(), 4);
  if (length > kMaxMessageBytes) {
    aError = asio::error::message_size;
    co_return;
  }
  aFrame.mCorrelationId = GetBigEndian(header.data() + 4, 8);
  aFrame.mKind =
    static_cast<std::uint16_t>(GetBigEndian(header.data() + 12, 2));
  aFrame.mBytes.resize(length);
  co_await asio::async_read(aSocket,
                            asio::buffer(aFrame.mBytes),
                            asio::redirect_error(asio::use_awaitable, aError));
}

/** Queues frames for a socket, so that only one write is in progress at a time.
 */
class FrameWriter : public std::enable_shared_from_this<FrameWriter>
{
public:
  explicit FrameWriter(asio::ip::tcp::socket& aSocket)
    : mSocket(aSocket)
  {
  }

  /** Must be called on the socket's thread. */
  auto Write(std::string_view aBytes) -> void;
  /** Stops writing; the socket may be destroyed afterwards. */
  auto Close() -> void { mIsClosed = true; }

private:
  auto Drain() -> Task<void>;

  asio::ip::tcp::socket& mSocket;
  std::string mQueued;
  bool mIsWriting = false;
  bool mIsClosed = false;
};

} // namespace eelgrasspost::net

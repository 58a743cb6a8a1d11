#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <absl/status/statusor.h>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/net/address.h"
#include "eelgrasspost/net/codec.h"
#include "eelgrasspost/net/http.h"
#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::net {

/** Kind of a request message between entries. */
enum class MessageKind : std::uint16_t
{
  /** Answered by the server itself, at once. */
  Probe = 0,
  ForwardRequest = 1,
  ReleaseNotePull = 2,
  HandOver = 3,
  PlaceTasks = 4,
  JobCommand = 5,
  StoreRelay = 6,
};

/** Maximum payload of a message between entries. */
inline constexpr std::uint32_t kMaxMessageBytes = 9 * 1024 * 1024;

struct MessageReply
{
  absl::Status mStatus;
  SendProgress mProgress = SendProgress::NothingSent;
  std::string mBytes;
};

/** A connection on which nothing arrived though replies were due. */
struct SilentConnection
{
  Address mAddress;
  /** Since it was opened, and since something last arrived on it. */
  std::chrono::milliseconds mAge{ 0 };
  std::chrono::milliseconds mSilence{ 0 };
};
using OnSilentConnection = std::function<void(const SilentConnection&)>;

/**
 * Sends messages to other entries over one TCP connection per address and pool
 * thread. A connection on which neither replies nor the echo of a probe arrive
 * is given up: its calls fail with an unknown outcome, and the next call opens
 * a new one. Replies are matched to calls by a correlation id that is unique in
 * the connection; a reply whose call has ended is dropped and counted.
 */
class MessageClient
{
public:
  MessageClient(std::size_t aThreads, std::string aBindIp);
  ~MessageClient();

  auto Call(const Address& aAddress,
            MessageKind aKind,
            std::string aBytes,
            base::MonotonicTime aDeadline) -> Task<MessageReply>;
  /** Sets a function that is called for each connection that is given up. */
  auto SetOnSilentConnection(OnSilentConnection aFunction) -> void;
  /** Number of replies that arrived after their call had ended. */
  auto LateReplies() const -> std::uint64_t;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/** Receives messages of other entries and sends their replies. */
class MessageServer
{
public:
  using Handler = std::function<Task<std::string>(std::string)>;

  explicit MessageServer(IoPool& aPool);
  ~MessageServer();

  /** Handlers must be registered before Listen() is called. */
  auto RegisterHandler(MessageKind aKind, Handler aHandler) -> void;
  auto Listen(const Address& aAddress) -> absl::StatusOr<Address>;
  auto Stop() -> void;
  /** Number of messages that are being handled. */
  auto InFlight() const -> std::size_t;
  /** Number of messages received since the start. */
  auto ReceivedCount() const -> std::uint64_t;

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

template<typename Reply>
struct TypedReply
{
  absl::Status mStatus;
  SendProgress mProgress = SendProgress::NothingSent;
  Reply mReply;
};

/** Encodes the request, calls and decodes the reply. */
template<typename Reply, typename Request>
auto CallTyped(MessageClient& aClient,
               Address aAddress,
               MessageKind aKind,
               Request aRequest,
               base::MonotonicTime aDeadline) -> Task<TypedReply<Reply>>
{
  auto raw =
    co_await aClient.Call(aAddress, aKind, Encode(aRequest), aDeadline);
  auto out = TypedReply<Reply>{ raw.mStatus, raw.mProgress, {} };
  if (!raw.mStatus.ok()) {
    co_return out;
  }
  auto reply = Decode<Reply>(raw.mBytes);
  if (reply.ok()) {
    out.mReply = *std::move(reply);
  } else {
    out.mStatus = reply.status();
  }
  co_return out;
}

/**
 * Registers a handler that takes the decoded request and returns the reply. A
 * message that cannot be decoded closes its connection.
 */
template<typename Request, typename Reply>
auto RegisterTypedHandler(MessageServer& aServer,
                          MessageKind aKind,
                          std::function<Task<Reply>(Request)> aHandler) -> void
{
  auto decodeAndHandle =
    [handler = std::move(aHandler)](std::string aBytes) -> Task<std::string> {
    auto request = Decode<Request>(aBytes);
    if (!request.ok()) {
      co_return std::string();
    }
    auto reply = co_await handler(*std::move(request));
    co_return Encode(reply);
  };
  aServer.RegisterHandler(aKind, std::move(decodeAndHandle));
}

} // namespace eelgrasspost::net

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

/** What a message between entries asks for. */
enum class MessageKind : std::uint16_t
{
  ForwardRequest = 1,
  ReleaseNotePull = 2,
  HandOver = 3,
  PlaceTasks = 4,
  JobCommand = 5,
  StoreRelay = 6,
};

/** Longest message between entries, in bytes. */
inline constexpr std::uint32_t kMessageLimit = 9 * 1024 * 1024;

struct MessageReply
{
  absl::Status mStatus;
  SendProgress mProgress = SendProgress::NothingSent;
  std::string mBytes;
};

/**
 * Sends messages to other entries over one TCP connection for each address
 * and pool thread. Answers are matched by a correlation id of the connection;
 * an answer that nobody waits for is dropped and counted.
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
  /** Answers that came after their call had ended. */
  auto LateReplies() const -> std::uint64_t;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/** Takes messages of other entries. */
class MessageServer
{
public:
  using Handler = std::function<Task<std::string>(std::string)>;

  explicit MessageServer(IoPool& aPool);
  ~MessageServer();

  /** Handlers are set before Listen() and never after. */
  auto Handle(MessageKind aKind, Handler aHandler) -> void;
  auto Listen(const Address& aAddress) -> absl::StatusOr<Address>;
  auto Stop() -> void;
  /** Messages that a handler is working on now. */
  auto InFlight() const -> std::size_t;
  /** Messages taken since the start. */
  auto Taken() const -> std::uint64_t;

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

/** Calls with typed messages. */
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
 * Handles typed messages. A message that cannot be decoded closes the
 * connection that brought it.
 */
template<typename Request, typename Reply>
auto HandleTyped(MessageServer& aServer,
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
  aServer.Handle(aKind, std::move(decodeAndHandle));
}

} // namespace eelgrasspost::net

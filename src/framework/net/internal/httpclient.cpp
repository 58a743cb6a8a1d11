#include <atomic>
#include <deque>
#include <map>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/net/http.h"
#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::net {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using boost::system::error_code;

struct Connection
{
  explicit Connection(asio::any_io_executor aExecutor)
    : mStream(std::move(aExecutor))
  {
  }
  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  /** When a response was last complete. */
  base::MonotonicTime mLastResponseAt{};
  /** Whether it can be used again: its last exchange succeeded, and the server
   * keeps it open. */
  bool mIsKeptAlive = true;
  /** The incarnation of the server; empty if it is not known. */
  std::string mIncarnation;
};

using ConnectionPtr = std::unique_ptr<Connection>;

/** A request with a shorter timeout says nothing about its connection. */
constexpr auto kMinConclusiveTimeout = std::chrono::milliseconds(300);
/** A connection that responded less than this time ago is considered sound. */
constexpr auto kRecentResponse = std::chrono::milliseconds(300);

/** Returns whether an idle connection is still open and has no unread bytes. */
auto IsReusable(Connection& aConnection) -> bool
{
  auto& socket = aConnection.mStream.socket();
  error_code ec;
  char byte = 0;
  socket.non_blocking(true, ec);
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
  return ec == asio::error::would_block;
}

auto ToBeast(const HttpRequest& aRequest, const Address& aAddress)
  -> http::request<http::string_body>
{
  http::request<http::string_body> out;
  out.version(11);
  out.method_string(aRequest.mMethod);
  out.target(aRequest.mTarget);
  out.set(http::field::host, ToString(aAddress));
  for (const auto& it : aRequest.mFields) {
    out.insert(it.mName, it.mValue);
  }
  out.body() = aRequest.mBody;
  out.prepare_payload();
  return out;
}

auto FromBeast(http::response<http::string_body>&& aResponse) -> HttpResponse
{
  HttpResponse out;
  out.mStatus = aResponse.result_int();
  for (const auto& it : aResponse) {
    out.mFields.push_back(
      { std::string(it.name_string()), std::string(it.value()) });
  }
  out.mBody = std::move(aResponse.body());
  return out;
}

auto FailedExchange(std::string_view aWhat,
                    const Address& aAddress,
                    const error_code& aError,
                    SendProgress aProgress) -> HttpExchange
{
  const auto text =
    base::Cat(aWhat, " ", ToString(aAddress), ": ", aError.message());
  const auto isTimeout = aError == beast::error::timeout;
  auto status = isTimeout ? absl::DeadlineExceededError(text)
                          : absl::UnavailableError(text);
  return { std::move(status), aProgress, {} };
}

/** Returns whether a response echoes another request's id. */
auto IsMismatched(const std::string& aEchoField,
                  const HttpRequest& aRequest,
                  const http::response<http::string_body>& aResponse) -> bool
{
  const auto it = aResponse.find(aEchoField);
  return !aEchoField.empty() && it != aResponse.end() &&
         std::string_view(it->value().data(), it->value().size()) !=
           FindField(aRequest.mFields, aEchoField);
}

auto Connect(Connection& aConnection,
             const Address& aAddress,
             const std::string& aBindIp) -> Task<error_code>
{
  error_code ec;
  auto& socket = aConnection.mStream.socket();
  const auto ip = asio::ip::make_address(aAddress.mIp, ec);
  if (ec) {
    co_return ec;
  }
  const auto target = Tcp::endpoint(ip, aAddress.mPort);
  socket.open(target.protocol(), ec);
  if (ec) {
    co_return ec;
  }
  if (!aBindIp.empty()) {
    socket.bind(Tcp::endpoint(asio::ip::make_address(aBindIp, ec), 0), ec);
  }
  co_await aConnection.mStream.async_connect(
    target, asio::redirect_error(asio::use_awaitable, ec));
  if (!ec) {
    socket.set_option(Tcp::no_delay(true), ec);
  }
  co_return ec;
}

} // namespace

auto FindField(const std::vector<HttpField>& aFields, std::string_view aName)
  -> std::string_view
{
  for (const auto& it : aFields) {
    if (base::EqualsIgnoreCase(it.mName, aName)) {
      return it.mValue;
    }
  }
  return {};
}

struct HttpClient::Impl
{
  using IdleConnections = std::map<Address, std::deque<ConnectionPtr>>;

  HttpClientOptions mOptions;
  /** One per pool thread, used only by that thread. */
  std::vector<IdleConnections> mIdle;
  std::atomic<std::uint64_t> mMismatched{ 0 };

  /** A request got no response. Closes the idle connections to the address that
   * have not responded lately: they may have gone silent as well,
   * and each would cost a timeout. */
  auto DropUnconfirmed(const Address& aAddress, base::MonotonicTime aSentAt)
    -> void
  {
    const auto now = base::MonotonicClock::now();
    if (now - aSentAt < kMinConclusiveTimeout) {
      return;
    }
    auto& idle = mIdle[ThisThreadIndex()][aAddress];
    std::erase_if(idle, [&](const ConnectionPtr& aIdle) {
      return now - aIdle->mLastResponseAt > kRecentResponse;
    });
  }

  /** Returns a connection to the expected incarnation, if one is named, or to
   * one that is not known. Closes those to other ones. */
  auto TakeIdle(const Address& aAddress, std::string_view aIncarnation)
    -> ConnectionPtr
  {
    auto& idle = mIdle[ThisThreadIndex()][aAddress];
    while (!idle.empty()) {
      auto connection = std::move(idle.back());
      idle.pop_back();
      const auto& known = connection->mIncarnation;
      const auto isExpected =
        aIncarnation.empty() || known.empty() || known == aIncarnation;
      if (isExpected && IsReusable(*connection)) {
        return connection;
      }
    }
    return nullptr;
  }

  auto SendOn(Connection& aConnection,
              const Address& aAddress,
              const HttpRequest& aRequest) -> Task<HttpExchange>;
  /** Sends the query of a check and sets the connection's incarnation. */
  auto AskIncarnation(Connection& aConnection,
                      const Address& aAddress,
                      const ServerCheck& aCheck) -> Task<HttpExchange>;

  auto KeepIdle(const Address& aAddress, ConnectionPtr aConnection) -> void
  {
    auto& idle = mIdle[ThisThreadIndex()][aAddress];
    if (idle.size() < mOptions.mMaxIdlePerAddress) {
      aConnection->mStream.expires_never();
      idle.push_back(std::move(aConnection));
    }
  }
};

HttpClient::HttpClient(std::size_t aThreads, HttpClientOptions aOptions)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mOptions = std::move(aOptions);
  mImpl->mIdle.resize(aThreads);
}

HttpClient::~HttpClient() = default;

auto HttpClient::MismatchedResponses() const -> std::uint64_t
{
  return mImpl->mMismatched;
}

auto HttpClient::Impl::SendOn(Connection& aConnection,
                              const Address& aAddress,
                              const HttpRequest& aRequest) -> Task<HttpExchange>
{
  auto& stream = aConnection.mStream;
  aConnection.mIsKeptAlive = false;
  const auto sentAt = base::MonotonicClock::now();
  const auto message = ToBeast(aRequest, aAddress);
  error_code ec;
  co_await http::async_write(
    stream, message, asio::redirect_error(asio::use_awaitable, ec));
  if (ec) {
    co_return FailedExchange(
      "cannot send to", aAddress, ec, SendProgress::MaybeSent);
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(mOptions.mBodyLimit);
  parser.skip(aRequest.mMethod == "HEAD");
  co_await http::async_read(stream,
                            aConnection.mBuffer,
                            parser,
                            asio::redirect_error(asio::use_awaitable, ec));
  if (ec) {
    if (ec == beast::error::timeout) {
      DropUnconfirmed(aAddress, sentAt);
    }
    co_return FailedExchange(
      "no response from", aAddress, ec, SendProgress::MaybeSent);
  }
  aConnection.mLastResponseAt = base::MonotonicClock::now();
  auto response = parser.release();
  if (IsMismatched(mOptions.mEchoField, aRequest, response)) {
    ++mMismatched;
    co_return HttpExchange{
      absl::DataLossError(
        base::Cat(ToString(aAddress),
                  " responded to another request on this connection")),
      SendProgress::MaybeSent,
      {}
    };
  }
  aConnection.mIsKeptAlive =
    response.keep_alive() && aConnection.mBuffer.size() == 0;
  co_return HttpExchange{ absl::OkStatus(),
                          SendProgress::MaybeSent,
                          FromBeast(std::move(response)) };
}

auto HttpClient::Impl::AskIncarnation(Connection& aConnection,
                                      const Address& aAddress,
                                      const ServerCheck& aCheck)
  -> Task<HttpExchange>
{
  const auto query = aCheck.mMakeQuery();
  auto out = co_await SendOn(aConnection, aAddress, query);
  out.mProgress = SendProgress::NothingSent;
  if (out.mStatus.ok()) {
    aConnection.mIncarnation = aCheck.mReadIncarnation(out.mResponse);
    out.mIsOtherServer = !aConnection.mIncarnation.empty() &&
                         aConnection.mIncarnation != aCheck.mExpected;
  }
  co_return out;
}

auto HttpClient::Exchange(const Address& aAddress,
                          const HttpRequest& aRequest,
                          base::MonotonicTime aDeadline) -> Task<HttpExchange>
{
  static const ServerCheck kNoCheck;
  return Exchange(aAddress, aRequest, aDeadline, kNoCheck);
}

auto HttpClient::Exchange(const Address& aAddress,
                          const HttpRequest& aRequest,
                          base::MonotonicTime aDeadline,
                          const ServerCheck& aCheck) -> Task<HttpExchange>
{
  const auto startedAt = base::MonotonicClock::now();
  auto connection = mImpl->TakeIdle(aAddress, aCheck.mExpected);
  if (!connection) {
    connection =
      std::make_unique<Connection>(co_await asio::this_coro::executor);
    connection->mStream.expires_at(aDeadline);
    const auto ec =
      co_await Connect(*connection, aAddress, mImpl->mOptions.mBindIp);
    if (ec) {
      co_return FailedExchange(
        "cannot connect to", aAddress, ec, SendProgress::NothingSent);
    }
  }
  connection->mStream.expires_at(aDeadline);
  auto& incarnation = connection->mIncarnation;
  HttpExchange out;
  auto mayReceive = aCheck.mExpected.empty() || incarnation == aCheck.mExpected;
  if (!mayReceive) {
    out = co_await mImpl->AskIncarnation(*connection, aAddress, aCheck);
    mayReceive = incarnation == aCheck.mExpected;
    const auto now = base::MonotonicClock::now();
    const auto hasTime = aDeadline - now > now - startedAt;
    if (mayReceive && !(hasTime && connection->mIsKeptAlive)) {
      // The request may take as long; the next one finds this connection.
      out = { absl::DeadlineExceededError(base::Cat(
                "no time is left after the query to ", ToString(aAddress))),
              SendProgress::NothingSent,
              {} };
      mayReceive = false;
    }
  }
  if (mayReceive) {
    out = co_await mImpl->SendOn(*connection, aAddress, aRequest);
    if (out.mStatus.ok() && incarnation.empty() && aCheck.mReadIncarnation) {
      incarnation = aCheck.mReadIncarnation(out.mResponse);
    }
  }
  if (connection->mIsKeptAlive) {
    mImpl->KeepIdle(aAddress, std::move(connection));
  }
  co_return out;
}

} // namespace eelgrasspost::net

#include <set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/net/http.h"
#include "eelgrasspost/net/iopool.h"
#include "isolation.h"
#include "listen.h"

namespace eelgrasspost::net {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using boost::system::error_code;

auto FromBeast(http::request<http::string_body>&& aRequest) -> HttpRequest
{
  HttpRequest out;
  out.mMethod = std::string(aRequest.method_string());
  out.mTarget = std::string(aRequest.target());
  for (const auto& it : aRequest) {
    out.mFields.push_back(
      { std::string(it.name_string()), std::string(it.value()) });
  }
  out.mBody = std::move(aRequest.body());
  return out;
}

auto IsHopByHop(const HttpField& aField) -> bool
{
  const auto field = http::string_to_field(aField.mName);
  return field == http::field::connection ||
         field == http::field::content_length ||
         field == http::field::transfer_encoding ||
         field == http::field::keep_alive;
}

auto ToBeast(HttpResponse&& aResponse, bool aKeepAlive, bool aIsHead)
  -> http::response<http::string_body>
{
  http::response<http::string_body> out;
  out.version(11);
  out.result(aResponse.mStatus);
  for (const auto& it : aResponse.mFields) {
    if (!IsHopByHop(it)) {
      out.insert(it.mName, it.mValue);
    }
  }
  out.keep_alive(aKeepAlive);
  out.body() = std::move(aResponse.mBody);
  out.prepare_payload();
  if (aIsHead) {
    out.body().clear();
  }
  return out;
}

/** Returns the response to a request that cannot be parsed. */
auto ParseErrorResponse(const error_code& aError) -> HttpResponse
{
  if (aError == http::error::body_limit) {
    return { 413, {}, "the body is too large; send a smaller one\n" };
  }
  if (aError == http::error::header_limit) {
    return { 431, {}, "the header is too large; send fewer fields\n" };
  }
  return { 400,
           {},
           base::Cat("the request is not HTTP/1.1 (",
                     aError.message(),
                     "); check the client\n") };
}

/** The request may or may not have taken effect. */
auto InternalErrorResponse() -> HttpResponse
{
  return { 500,
           {},
           "an unexpected error ended the request; its outcome is unknown\n" };
}

auto IsParseError(const error_code& aError) -> bool
{
  return aError.category() ==
           http::make_error_code(http::error::body_limit).category() &&
         aError != http::error::end_of_stream;
}

/** An open connection, used by a single thread. */
struct OpenConnection
{
  explicit OpenConnection(Tcp::socket aSocket)
    : mStream(std::move(aSocket))
  {
  }

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  bool mIsBusy = false;

  /** Returns whether no byte of a request was received since the last response.
   */
  auto IsIdle() -> bool
  {
    error_code ec;
    const auto waiting = mStream.socket().available(ec);
    return !mIsBusy && mBuffer.size() == 0 && waiting == 0;
  }
};

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
  Impl(IoPool& aPool, HttpServerOptions aOptions, HttpHandler aHandler)
    : mPool(aPool)
    , mOptions(std::move(aOptions))
    , mHandler(std::move(aHandler))
    , mAcceptor(aPool.Executor(0))
    , mOpen(aPool.Size())
  {
  }

  IoPool& mPool;
  HttpServerOptions mOptions;
  HttpHandler mHandler;
  Tcp::acceptor mAcceptor;
  /** One per pool thread, used only by that thread. */
  std::vector<std::set<OpenConnection*>> mOpen;
  std::atomic<bool> mIsStopping{ false };
  std::atomic<std::size_t> mConnections{ 0 };
  std::atomic<std::size_t> mInFlight{ 0 };

  auto Accept() -> Task<void>;
  auto Serve(Tcp::socket aSocket) -> Task<void>;
  auto ServeRequests(OpenConnection& aConnection) -> Task<void>;
  auto SendErrorResponse(beast::tcp_stream& aStream, error_code aError)
    -> Task<void>;
  auto HandleRequest(beast::tcp_stream& aStream,
                     HttpRequest aRequest,
                     bool aKeepAlive) -> Task<bool>;
};

auto HttpServer::Impl::Accept() -> Task<void>
{
  const auto self = shared_from_this();
  while (!mIsStopping) {
    error_code ec;
    const auto executor = mPool.NextExecutor();
    auto socket = co_await mAcceptor.async_accept(
      executor, asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    if (ec) {
      constexpr auto kPauseAfterError = std::chrono::milliseconds(10);
      co_await Sleep(kPauseAfterError);
      continue;
    }
    if (mConnections >= mOptions.mConnectionLimit) {
      continue;
    }
    SpawnTask(executor, Serve(std::move(socket)));
  }
}

auto HttpServer::Impl::Serve(Tcp::socket aSocket) -> Task<void>
{
  const auto self = shared_from_this();
  ++mConnections;
  error_code ec;
  aSocket.set_option(Tcp::no_delay(true), ec);
  auto connection = OpenConnection(std::move(aSocket));
  auto& open = mOpen[ThisThreadIndex()];
  open.insert(&connection);
  co_await ServeRequests(connection);
  open.erase(&connection);
  connection.mStream.socket().shutdown(Tcp::socket::shutdown_send, ec);
  --mConnections;
}

auto HttpServer::Impl::ServeRequests(OpenConnection& aConnection) -> Task<void>
{
  auto& stream = aConnection.mStream;
  auto& buffer = aConnection.mBuffer;
  error_code ec;
  auto keepAlive = true;
  while (keepAlive) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(mOptions.mBodyLimit);
    parser.header_limit(mOptions.mHeaderLimit);
    stream.expires_after(mOptions.mIdleTimeout);
    co_await http::async_read_header(
      stream, buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
    // The connection also counts as busy while the body is received.
    aConnection.mIsBusy = true;
    if (!ec) {
      stream.expires_after(mOptions.mReadTimeout);
      co_await http::async_read(
        stream, buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
    }
    if (ec && IsParseError(ec)) {
      co_await SendErrorResponse(stream, ec);
    }
    if (ec || !parser.is_done()) {
      co_return;
    }
    keepAlive = parser.get().keep_alive() && !mIsStopping;
    stream.expires_never();
    keepAlive =
      co_await HandleRequest(stream, FromBeast(parser.release()), keepAlive);
    aConnection.mIsBusy = false;
  }
}

auto HttpServer::Impl::SendErrorResponse(beast::tcp_stream& aStream,
                                         error_code aError) -> Task<void>
{
  auto response = ParseErrorResponse(aError);
  response.mFields = mOptions.mErrorResponseFields;
  auto message = ToBeast(std::move(response), false, false);
  error_code ec;
  co_await http::async_write(
    aStream, message, asio::redirect_error(asio::use_awaitable, ec));
}

auto HttpServer::Impl::HandleRequest(beast::tcp_stream& aStream,
                                     HttpRequest aRequest,
                                     bool aKeepAlive) -> Task<bool>
{
  ++mInFlight;
  const auto isHead = aRequest.mMethod == "HEAD";
  const auto target = aRequest.mTarget;
  auto handled = co_await RunIsolated<HttpResponse>(
    target, [&] { return mHandler(std::move(aRequest)); });
  auto response = std::move(handled).value_or(InternalErrorResponse());
  const auto keepAlive = aKeepAlive && !mIsStopping;
  auto message = ToBeast(std::move(response), keepAlive, isHead);
  error_code ec;
  aStream.expires_after(mOptions.mReadTimeout);
  co_await http::async_write(
    aStream, message, asio::redirect_error(asio::use_awaitable, ec));
  --mInFlight;
  co_return keepAlive && !ec;
}

HttpServer::HttpServer(IoPool& aPool,
                       HttpServerOptions aOptions,
                       HttpHandler aHandler)
  : mImpl(
      std::make_shared<Impl>(aPool, std::move(aOptions), std::move(aHandler)))
{
}

HttpServer::~HttpServer() = default;

auto HttpServer::Listen(const Address& aAddress) -> absl::StatusOr<Address>
{
  auto bound = OpenAcceptor(mImpl->mAcceptor, aAddress);
  if (bound.ok()) {
    SpawnTask(mImpl->mPool.Executor(0), mImpl->Accept());
  }
  return bound;
}

auto HttpServer::StopAccepting() -> void
{
  mImpl->mIsStopping = true;
  asio::post(mImpl->mPool.Executor(0), [impl = mImpl] {
    error_code ec;
    impl->mAcceptor.close(ec);
  });
}

auto HttpServer::CloseIdleConnections() -> void
{
  for (std::size_t i = 0; i < mImpl->mPool.Size(); ++i) {
    asio::post(mImpl->mPool.Executor(i), [impl = mImpl, i] {
      for (auto* it : impl->mOpen[i]) {
        if (it->IsIdle()) {
          it->mStream.close();
        }
      }
    });
  }
}

auto HttpServer::Connections() const -> std::size_t
{
  return mImpl->mConnections;
}

auto HttpServer::InFlight() const -> std::size_t
{
  return mImpl->mInFlight;
}

} // namespace eelgrasspost::net

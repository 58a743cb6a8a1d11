#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/net/address.h"
#include "eelgrasspost/net/asio.h"

namespace eelgrasspost::net {

struct HttpField
{
  std::string mName;
  std::string mValue;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mName, mValue);
  }
};

/** Returns the value of a field, whose name is matched case-insensitively;
 * empty if the field is absent. */
auto FindField(const std::vector<HttpField>& aFields, std::string_view aName)
  -> std::string_view;

struct HttpRequest
{
  std::string mMethod = "GET";
  std::string mTarget = "/";
  std::vector<HttpField> mFields;
  std::string mBody;
};

struct HttpResponse
{
  unsigned mStatus = 200;
  std::vector<HttpField> mFields;
  std::string mBody;
};

/** How far a request got before its exchange failed. */
enum class SendProgress
{
  /** No byte of the request was written. */
  NothingSent,
  /** Part or all of the request may have reached the server. */
  MaybeSent,
};

struct HttpExchange
{
  absl::Status mStatus;
  SendProgress mProgress = SendProgress::NothingSent;
  /** Valid only when mStatus is ok; if nothing was sent, the response to the
   * query of a ServerCheck. */
  HttpResponse mResponse;
  /** Another incarnation of the server than the expected one has responded. */
  bool mIsOtherServer = false;
};

/**
 * Limits a request to one incarnation of its server. A server that restarts at
 * its address has none of its former connections: on a connection on which an
 * incarnation has responded, no other one can receive a request.
 */
struct ServerCheck
{
  /** The incarnation that may receive the request; empty for any. */
  std::string mExpected;
  /** Makes a request that asks for the incarnation, without effects; it is sent
   * first on a connection whose incarnation is not known. */
  std::function<HttpRequest()> mMakeQuery;
  /** Returns the incarnation that a response names; empty for none. */
  std::function<std::string(const HttpResponse&)> mReadIncarnation;
};

/** Limits of the HTTP client; sizes in bytes. */
struct HttpClientOptions
{
  /** Source IP of outgoing connections; empty lets the system choose. */
  std::string mBindIp;
  std::size_t mMaxIdlePerAddress = 16;
  std::uint64_t mBodyLimit = 8 * 1024 * 1024;
  /** Name of a request field that the response may echo. A response that echoes
   * another value belongs to another request, and the exchange fails. */
  std::string mEchoField;
};

/**
 * HTTP/1.1 client that keeps idle connections for each thread of the IoPool. A
 * connection whose exchange failed or timed out is closed, never reused. After
 * a timeout the idle connections to the address are closed that have not
 * responded lately, as connections may go silent together.
 */
class HttpClient
{
public:
  HttpClient(std::size_t aThreads, HttpClientOptions aOptions);
  ~HttpClient();

  /** Sends a request and waits for the complete response or the deadline. */
  auto Exchange(const Address& aAddress,
                const HttpRequest& aRequest,
                base::MonotonicTime aDeadline) -> Task<HttpExchange>;
  /** The same, for one incarnation of the server. If another one responds to
   * the query, or none is named, the request is not sent. */
  auto Exchange(const Address& aAddress,
                const HttpRequest& aRequest,
                base::MonotonicTime aDeadline,
                const ServerCheck& aCheck) -> Task<HttpExchange>;
  /** Number of responses that echoed another request's id. */
  auto MismatchedResponses() const -> std::uint64_t;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/** Limits of the HTTP server; sizes in bytes. */
struct HttpServerOptions
{
  std::uint64_t mBodyLimit = 1024 * 1024;
  std::uint32_t mHeaderLimit = 16 * 1024;
  std::size_t mConnectionLimit = 4096;
  /** Timeout for the body of a request, and for writing the response. */
  std::chrono::milliseconds mReadTimeout{ 15000 };
  /** Timeout for the header of the next request. */
  std::chrono::milliseconds mIdleTimeout{ 60000 };
  /** Fields of the error responses to requests that cannot be parsed, which
   * never reach the handler. */
  std::vector<HttpField> mErrorResponseFields;
};

using HttpHandler = std::function<Task<HttpResponse>(HttpRequest)>;

class IoPool;

/** HTTP/1.1 server that distributes its connections over a pool's threads. */
class HttpServer
{
public:
  HttpServer(IoPool& aPool, HttpServerOptions aOptions, HttpHandler aHandler);
  ~HttpServer();

  /** Binds and starts accepting; returns the bound address. */
  auto Listen(const Address& aAddress) -> absl::StatusOr<Address>;
  /** Closes the listening socket; open connections are closed after their
   * current request. */
  auto StopAccepting() -> void;
  /** Closes the connections that have received nothing since their last
   * response; only after StopAccepting(). */
  auto CloseIdleConnections() -> void;
  auto Connections() const -> std::size_t;
  /** Number of requests that are being handled. */
  auto InFlight() const -> std::size_t;

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace eelgrasspost::net

#include <boost/test/unit_test.hpp>

#include <future>
#include <optional>

#include "eelgrasspost/net/http.h"
#include "eelgrasspost/net/iopool.h"

namespace {

using namespace eelgrasspost::net;
using eelgrasspost::base::MonotonicClock;

/** A server that restarts at its address. It names its incarnation in each
 * response and counts the requests other than queries. */
struct RestartingServer
{
  IoPool mPool{ 1 };
  HttpClient mClient{ 1, {} };
  std::string mIncarnation = "1";
  unsigned mStatus = 200;
  std::chrono::milliseconds mDelay{ 0 };
  std::chrono::milliseconds mTimeout{ 5000 };
  std::size_t mQueries = 0;
  std::size_t mRequests = 0;
  std::optional<HttpServer> mServer;
  Address mAddress{ "127.0.0.1", 0 };

  RestartingServer()
  {
    Listen();
    mPool.Start();
  }

  ~RestartingServer() { mPool.Stop(); }

  auto Listen() -> void
  {
    mServer.emplace(mPool, HttpServerOptions(), [this](HttpRequest aRequest) {
      return Handle(std::move(aRequest));
    });
    mAddress = mServer->Listen(mAddress).value();
  }

  auto Handle(HttpRequest aRequest) -> Task<HttpResponse>
  {
    auto& n = aRequest.mTarget == "/query" ? mQueries : mRequests;
    ++n;
    co_await Sleep(mDelay);
    co_return HttpResponse{ mStatus, {}, mIncarnation };
  }

  template<typename T>
  auto Await(Task<T> aTask) -> T
  {
    std::promise<T> promise;
    auto run = [](Task<T> aInner, std::promise<T>& aPromise) -> Task<void> {
      aPromise.set_value(co_await std::move(aInner));
    };
    mPool.Spawn(mPool.Executor(0), run(std::move(aTask), promise));
    return promise.get_future().get();
  }

  /** The next incarnation listens; all connections of this one are closed. */
  auto Restart() -> void
  {
    mServer->StopAccepting();
    mServer->CloseIdleConnections();
    auto settle = []() -> Task<bool> {
      co_await Sleep(std::chrono::milliseconds(50));
      co_return true;
    };
    Await(settle());
    mIncarnation = "2";
    Listen();
  }

  auto Exchange(const std::string& aExpected) -> HttpExchange
  {
    ServerCheck check;
    check.mExpected = aExpected;
    check.mMakeQuery = [] { return HttpRequest{ "GET", "/query", {}, "" }; };
    check.mReadIncarnation = [](const HttpResponse& aResponse) {
      return aResponse.mBody;
    };
    const auto request = HttpRequest{ "POST", "/", {}, "" };
    return Await(mClient.Exchange(
      mAddress, request, MonotonicClock::now() + mTimeout, check));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(server_check, RestartingServer)

// Guards against TWICE: a request that was meant for a former incarnation of a
// server is executed by the next one.
BOOST_AUTO_TEST_CASE(server_restarted_gets_no_request_for_its_former_one)
{
  BOOST_TEST(Exchange("1").mStatus.ok());
  BOOST_TEST(mRequests == 1U);
  Restart();

  const auto exchange = Exchange("1");

  BOOST_TEST(exchange.mStatus.ok());
  BOOST_TEST(exchange.mIsOtherServer);
  BOOST_TEST((exchange.mProgress == SendProgress::NothingSent));
  BOOST_TEST(mRequests == 1U);
  BOOST_TEST(!Exchange("2").mIsOtherServer);
  BOOST_TEST(mRequests == 2U);
}

BOOST_AUTO_TEST_CASE(connection_of_known_incarnation_needs_no_query)
{
  for (auto i = 0; i < 3; ++i) {
    BOOST_TEST(!Exchange("1").mIsOtherServer);
  }
  BOOST_TEST(mQueries == 1U);
  BOOST_TEST(mRequests == 3U);
}

BOOST_AUTO_TEST_CASE(request_for_any_incarnation_tells_which_one_responded)
{
  BOOST_TEST(Exchange("").mStatus.ok());
  BOOST_TEST(Exchange("1").mStatus.ok());
  BOOST_TEST(mQueries == 0U);
  BOOST_TEST(mRequests == 2U);
}

BOOST_AUTO_TEST_CASE(query_refused_response_is_returned_and_nothing_sent)
{
  mIncarnation.clear();
  mStatus = 503;
  const auto exchange = Exchange("1");
  BOOST_TEST(exchange.mResponse.mStatus == 503U);
  BOOST_TEST(!exchange.mIsOtherServer);
  BOOST_TEST((exchange.mProgress == SendProgress::NothingSent));
  BOOST_TEST(mRequests == 0U);
}

// Guards against starts with an unknown outcome on slow workers: the time that
// the query has left is too short for the request.
BOOST_AUTO_TEST_CASE(server_slow_request_is_sent_with_the_next_attempt)
{
  mDelay = std::chrono::milliseconds(300);
  mTimeout = std::chrono::milliseconds(500);

  const auto first = Exchange("1");
  BOOST_TEST(!first.mStatus.ok());
  BOOST_TEST((first.mProgress == SendProgress::NothingSent));
  BOOST_TEST(mRequests == 0U);

  BOOST_TEST(Exchange("1").mStatus.ok());
  BOOST_TEST(mQueries == 1U);
  BOOST_TEST(mRequests == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

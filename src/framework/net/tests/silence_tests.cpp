#include <boost/test/unit_test.hpp>

#include <future>

#include "eelgrasspost/net/http.h"
#include "eelgrasspost/net/messages.h"
#include "silentproxy.h"

namespace {

using namespace eelgrasspost::net;
using eelgrasspost::base::MonotonicClock;
using std::chrono::milliseconds;

constexpr auto kTimeout = std::chrono::seconds(5);

struct Text
{
  std::string mText;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mText);
  }
};

/** A pool of one thread and a proxy before a server. */
struct SilenceFixture
{
  IoPool mPool{ 1 };
  std::shared_ptr<testing::SilentProxy> mProxy;

  ~SilenceFixture() { mPool.Stop(); }

  auto StartProxy(const Address& aServer) -> Address
  {
    mProxy = std::make_shared<testing::SilentProxy>(mPool, aServer);
    mPool.Spawn(mPool.Executor(0), mProxy->Run());
    mPool.Start();
    return mProxy->ListenAddress();
  }

  template<typename T>
  auto Await(Task<T> aTask) -> T
  {
    auto promise = std::make_shared<std::promise<T>>();
    auto future = promise->get_future();
    auto run = [](Task<T> aInner,
                  std::shared_ptr<std::promise<T>> aPromise) -> Task<void> {
      aPromise->set_value(co_await std::move(aInner));
    };
    mPool.Spawn(mPool.Executor(0), run(std::move(aTask), promise));
    return future.get();
  }

  auto Silence() -> void
  {
    auto silence = [](testing::SilentProxy& aProxy) -> Task<bool> {
      aProxy.Silence();
      co_return true;
    };
    Await(silence(*mProxy));
  }
};

struct SilentMessages : SilenceFixture
{
  MessageServer mServer{ mPool };
  MessageClient mClient{ 1, "" };
  std::atomic<std::size_t> mGivenUp{ 0 };
  Address mAddress;

  SilentMessages()
  {
    RegisterTypedHandler<Text, Text>(
      mServer, MessageKind::HandOver, [](Text aText) -> Task<Text> {
        if (aText.mText == "slow") {
          co_await Sleep(milliseconds(2500));
        }
        co_return aText;
      });
    mClient.SetOnSilentConnection(
      [this](const SilentConnection&) { ++mGivenUp; });
    mAddress = StartProxy(mServer.Listen({ "127.0.0.1", 0 }).value());
  }

  auto Call(const std::string& aText, milliseconds aTimeout = kTimeout)
    -> TypedReply<Text>
  {
    return Await(CallTyped<Text>(mClient,
                                 mAddress,
                                 MessageKind::HandOver,
                                 Text{ aText },
                                 MonotonicClock::now() + aTimeout));
  }
};

struct SilentRequests : SilenceFixture
{
  HttpServer mServer{ mPool, {}, [](HttpRequest) -> Task<HttpResponse> {
                       co_await Sleep(milliseconds(30));
                       co_return HttpResponse{ 200, {}, "ok" };
                     } };
  HttpClient mClient{ 1, {} };
  Address mAddress = StartProxy(mServer.Listen({ "127.0.0.1", 0 }).value());

  auto Exchange(milliseconds aTimeout) -> HttpExchange
  {
    const auto request = HttpRequest{ "GET", "/", {}, "" };
    return Await(
      mClient.Exchange(mAddress, request, MonotonicClock::now() + aTimeout));
  }

  /** Opens connections that are idle afterwards. */
  auto OpenConnections(std::size_t aCount) -> void
  {
    std::vector<std::shared_ptr<std::promise<bool>>> done;
    for (std::size_t i = 0; i < aCount; ++i) {
      done.push_back(std::make_shared<std::promise<bool>>());
      auto run = [](SilentRequests& aFixture,
                    std::shared_ptr<std::promise<bool>> aDone) -> Task<void> {
        const auto request = HttpRequest{ "GET", "/", {}, "" };
        const auto exchange = co_await aFixture.mClient.Exchange(
          aFixture.mAddress, request, MonotonicClock::now() + kTimeout);
        aDone->set_value(exchange.mStatus.ok());
      };
      mPool.Spawn(mPool.Executor(0), run(*this, done.back()));
    }
    for (auto& it : done) {
      BOOST_TEST_REQUIRE(it->get_future().get());
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(silent_messages, SilentMessages)

// All calls to an entry waited for their deadlines, for as long as both
// processes lived, once the connection to it had gone silent.
BOOST_AUTO_TEST_CASE(messageclient_connection_goes_silent_is_replaced)
{
  BOOST_TEST_REQUIRE(Call("a").mStatus.ok());
  Silence();

  const auto lost = Call("b");
  const auto next = Call("c");

  BOOST_TEST((lost.mProgress == SendProgress::MaybeSent));
  BOOST_TEST(absl::IsUnavailable(lost.mStatus));
  BOOST_TEST_REQUIRE(next.mStatus.ok());
  BOOST_TEST(next.mReply.mText == "c");
  BOOST_TEST(mGivenUp == 1U);
}

// The same where each call ends before the connection is given up.
BOOST_AUTO_TEST_CASE(
  messageclient_silent_connection_with_short_calls_is_replaced)
{
  BOOST_TEST_REQUIRE(Call("a").mStatus.ok());
  Silence();

  auto isReplaced = false;
  for (auto i = 0; i < 10 && !isReplaced; ++i) {
    isReplaced = Call("b", milliseconds(200)).mStatus.ok();
  }

  BOOST_TEST(isReplaced);
}

BOOST_AUTO_TEST_CASE(messageclient_slow_reply_keeps_its_connection)
{
  const auto reply = Call("slow");

  BOOST_TEST(reply.mStatus.ok());
  BOOST_TEST(mGivenUp == 0U);
  BOOST_TEST(mClient.LateReplies() == 0U);
  BOOST_TEST(mProxy->Connections() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(silent_requests, SilentRequests)

// Each idle connection that had gone silent cost a timeout of its own.
BOOST_AUTO_TEST_CASE(httpclient_idle_connections_go_silent_cost_one_timeout)
{
  OpenConnections(8);
  Silence();

  const auto lost = Exchange(milliseconds(400));
  const auto next = Exchange(milliseconds(400));

  BOOST_TEST(!lost.mStatus.ok());
  BOOST_TEST(next.mStatus.ok());
  BOOST_TEST(mProxy->Connections() == 9U);
}

BOOST_AUTO_TEST_CASE(httpclient_short_timeout_keeps_idle_connections)
{
  OpenConnections(4);

  BOOST_TEST(!Exchange(milliseconds(5)).mStatus.ok());
  BOOST_TEST(Exchange(milliseconds(400)).mStatus.ok());

  BOOST_TEST(mProxy->Connections() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

#define BOOST_TEST_MODULE net
#include <boost/test/unit_test.hpp>

#include <future>
#include <stdexcept>

#include "eelgrasspost/net/datagram.h"
#include "eelgrasspost/net/http.h"
#include "eelgrasspost/net/messages.h"

namespace {

using namespace eelgrasspost::net;
using eelgrasspost::base::MonotonicClock;

constexpr auto kTimeout = std::chrono::seconds(5);

struct Echo
{
  std::string mText;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mText);
  }
};

struct Batch
{
  std::vector<Echo> mEchoes;
  std::vector<std::uint32_t> mNumbers;
  std::optional<std::string> mNote;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mEchoes, mNumbers, mNote);
  }
};

/** Encodes the length of a text or vector without its content. */
auto EncodeLengthOnly(std::uint64_t aLength, std::size_t aPadding)
  -> std::string
{
  auto out = std::string(1, '\1');
  out.append(reinterpret_cast<const char*>(&aLength), sizeof(aLength));
  out.append(aPadding, '\0');
  return out;
}

/** A running pool; Await() runs a task on it and waits for the result. */
struct PoolFixture
{
  PoolFixture() { mPool.Start(); }

  template<typename T>
  auto Await(Task<T> aTask) -> T
  {
    auto promise = std::make_shared<std::promise<T>>();
    auto future = promise->get_future();
    auto run = [](Task<T> aInner,
                  std::shared_ptr<std::promise<T>> aPromise) -> Task<void> {
      aPromise->set_value(co_await std::move(aInner));
    };
    mPool.Spawn(mPool.Executor(1), run(std::move(aTask), promise));
    return future.get();
  }

  IoPool mPool{ 2 };
};

const auto kAnyPort = Address{ "127.0.0.1", 0 };

} // namespace

BOOST_FIXTURE_TEST_SUITE(net, PoolFixture)

BOOST_AUTO_TEST_CASE(httpclient_running_server_gets_complete_response)
{
  auto handler = [](HttpRequest aRequest) -> Task<HttpResponse> {
    co_return HttpResponse{ 200, {}, aRequest.mTarget + aRequest.mBody };
  };
  HttpServer server(mPool, {}, handler);
  const auto address = server.Listen(kAnyPort);
  BOOST_TEST_REQUIRE(address.ok());
  HttpClient client(mPool.Size(), {});
  const auto request = HttpRequest{ "POST", "/a", {}, "body" };
  const auto exchange =
    Await(client.Exchange(*address, request, MonotonicClock::now() + kTimeout));
  BOOST_TEST_REQUIRE(exchange.mStatus.ok());
  BOOST_TEST(exchange.mResponse.mBody == "/abody");
  server.StopAccepting();
}

BOOST_AUTO_TEST_CASE(httpclient_refused_connection_reports_nothing_sent)
{
  HttpClient client(mPool.Size(), {});
  const auto exchange = Await(client.Exchange(
    Address{ "127.0.0.1", 1 }, {}, MonotonicClock::now() + kTimeout));
  BOOST_TEST(!exchange.mStatus.ok());
  BOOST_TEST((exchange.mProgress == SendProgress::NothingSent));
}

BOOST_AUTO_TEST_CASE(messageclient_typed_call_gets_its_own_reply)
{
  MessageServer server(mPool);
  RegisterTypedHandler<Echo, Echo>(
    server, MessageKind::HandOver, [](Echo aEcho) -> Task<Echo> {
      co_return Echo{ "re:" + aEcho.mText };
    });
  const auto address = server.Listen(kAnyPort);
  BOOST_TEST_REQUIRE(address.ok());
  MessageClient client(mPool.Size(), "");
  for (const auto* text : { "one", "two" }) {
    const auto reply = Await(CallTyped<Echo>(client,
                                             *address,
                                             MessageKind::HandOver,
                                             Echo{ text },
                                             MonotonicClock::now() + kTimeout));
    BOOST_TEST_REQUIRE(reply.mStatus.ok());
    BOOST_TEST(reply.mReply.mText == std::string("re:") + text);
  }
  server.Stop();
}

BOOST_AUTO_TEST_CASE(httphandler_throws_ends_that_request_alone)
{
  auto handler = [](HttpRequest aRequest) -> Task<HttpResponse> {
    if (aRequest.mTarget == "/bad") {
      throw std::out_of_range("no such key");
    }
    co_return HttpResponse{ 200, {}, "ok" };
  };
  HttpServer server(mPool, {}, handler);
  const auto address = server.Listen(kAnyPort).value();
  HttpClient client(mPool.Size(), {});
  const auto get = [&](const std::string& aTarget) {
    HttpRequest request;
    request.mTarget = aTarget;
    return Await(
      client.Exchange(address, request, MonotonicClock::now() + kTimeout));
  };
  BOOST_TEST(get("/bad").mResponse.mStatus == 500U);
  BOOST_TEST(get("/good").mResponse.mStatus == 200U);
}

BOOST_AUTO_TEST_CASE(messagehandler_throws_ends_that_call_alone)
{
  MessageServer server(mPool);
  RegisterTypedHandler<Echo, Echo>(
    server, MessageKind::JobCommand, [](Echo aEcho) -> Task<Echo> {
      if (aEcho.mText == "bad") {
        throw std::out_of_range("no such key");
      }
      co_return aEcho;
    });
  const auto address = server.Listen(kAnyPort).value();
  MessageClient client(mPool.Size(), "127.0.0.1");
  const auto call = [&](const std::string& aText,
                        std::chrono::milliseconds aTimeout) {
    return Await(CallTyped<Echo>(client,
                                 address,
                                 MessageKind::JobCommand,
                                 Echo{ aText },
                                 MonotonicClock::now() + aTimeout));
  };
  BOOST_TEST(!call("bad", std::chrono::milliseconds(200)).mStatus.ok());
  const auto good = call("good", kTimeout);
  BOOST_TEST_REQUIRE(good.mStatus.ok());
  BOOST_TEST(good.mReply.mText == "good");
}

BOOST_AUTO_TEST_CASE(datagramhandler_throws_ends_that_datagram_alone)
{
  std::promise<std::string> received;
  DatagramSocket receiver(mPool);
  const auto address = receiver
                         .Bind(kAnyPort,
                               [&](std::string_view aBytes) {
                                 if (aBytes == "bad") {
                                   throw std::out_of_range("no such key");
                                 }
                                 received.set_value(std::string(aBytes));
                               })
                         .value();
  DatagramSocket sender(mPool);
  BOOST_REQUIRE(sender.Bind(kAnyPort, [](std::string_view) {}).ok());
  sender.Send(address, "bad");
  sender.Send(address, "good");
  auto future = received.get_future();
  BOOST_REQUIRE(future.wait_for(kTimeout) == std::future_status::ready);
  BOOST_TEST(future.get() == "good");
}

BOOST_AUTO_TEST_CASE(decode_truncated_bytes_gives_error)
{
  const auto bytes = Encode(Echo{ "hello" });
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    BOOST_TEST(!Decode<Echo>(bytes.substr(0, n)).ok());
  }
}

BOOST_AUTO_TEST_CASE(decode_encoded_message_returns_same_message)
{
  const auto batch = Batch{ { { "one" }, { "" } }, { 7, 9 }, "note" };
  const auto decoded = Decode<Batch>(Encode(batch));
  BOOST_TEST_REQUIRE(decoded.ok());
  BOOST_TEST(decoded->mEchoes.size() == 2U);
  BOOST_TEST(decoded->mEchoes[0].mText == "one");
  BOOST_TEST(decoded->mNumbers == batch.mNumbers);
  BOOST_TEST((decoded->mNote == batch.mNote));
}

BOOST_AUTO_TEST_CASE(decode_length_beyond_message_fails_before_allocating)
{
  constexpr std::uint64_t kInvalidLengths[] = { 17, 1ULL << 30, ~0ULL };
  for (const auto length : kInvalidLengths) {
    const auto bytes = EncodeLengthOnly(length, 16);
    const auto text = Decode<Echo>(bytes);
    BOOST_TEST(!text.ok());
    BOOST_TEST(text.status().message().find("greater than the message") !=
               absl::string_view::npos);
    const auto batch = Decode<Batch>(bytes);
    BOOST_TEST(!batch.ok());
    BOOST_TEST(batch.status().message().find("greater than the message") !=
               absl::string_view::npos);
  }
}

BOOST_AUTO_TEST_SUITE_END()

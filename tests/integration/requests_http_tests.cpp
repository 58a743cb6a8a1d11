#define BOOST_TEST_MODULE requests_http
#include <atomic>
#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "cluster.h"
#include "eelgrasspost/base/text.h"

namespace {

using namespace eelgrasspost;
using harness::Cluster;
using harness::SyncHttp;
using harness::WaitUntil;
namespace json = base::json;
namespace asio = net::asio;

constexpr int kLongDeadlineMs = 20000;

struct DoorFixture
{
  DoorFixture()
  {
    BOOST_TEST_REQUIRE(mCluster.WaitForOwners());
    auto note = mCluster.NoteAdding("quotes", true);
    note["services"]
      .as_object()["add"]
      .as_array()[0]
      .as_object()["deadline_ms"] = kLongDeadlineMs;
    const auto bills = mCluster.NoteAdding("bills", false);
    note["services"].as_object()["add"].as_array().push_back(
      bills.at("services").as_object().at("add").as_array().at(0));
    mCluster.PutInForce(note);
    // Each entry plans its routes anew shortly after a note is in force.
    const auto isServed = [this] {
      return mCluster.Call(0, "quotes/x").mResponse.mStatus == 200U &&
             mCluster.Call(1, "quotes/x").mResponse.mStatus == 200U;
    };
    BOOST_TEST_REQUIRE(WaitUntil(isServed, base::Milliseconds(10000)));
  }

  /** Sends bytes and reads until the entry closes the connection. */
  auto SendRaw(const std::string& aBytes) -> std::string
  {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    const auto& http = mCluster.mEntries[0].mHttp;
    socket.connect({ asio::ip::make_address(http.mIp), http.mPort });
    boost::system::error_code ec;
    asio::write(socket, asio::buffer(aBytes), ec);
    std::string out;
    asio::read(socket, asio::dynamic_buffer(out), ec);
    return out;
  }

  Cluster mCluster;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(requests_http, DoorFixture)

BOOST_AUTO_TEST_CASE(bad_bytes_at_the_door_get_status_outcome_and_remedy)
{
  struct Case
  {
    std::string mRequest;
    std::string mStatus;
    std::string mRemedy;
  };
  const auto post = std::string("POST /services/quotes/x HTTP/1.1\r\n"
                                "Host: a\r\nConnection: close\r\n");
  const auto get = std::string("GET /services/quotes/x HTTP/1.1\r\n"
                               "Host: a\r\nConnection: close\r\n");
  const auto bill = std::string("POST /services/bills/x HTTP/1.1\r\nHost: a\r\n"
                                "Connection: close\r\nContent-Length: 0\r\n");
  const auto unknown = std::string("GET /services/none/x HTTP/1.1\r\n"
                                   "Host: a\r\nConnection: close\r\n\r\n");
  const auto connect = std::string("TRACE /services/quotes/x HTTP/1.1\r\n"
                                   "Host: a\r\nConnection: close\r\n\r\n");
  const Case cases[] = {
    { "nonsense\r\n\r\n", "400", "check the client" },
    { post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      "400",
      "check the client" },
    { post + "Content-Length: x\r\n\r\n", "400", "check the client" },
    { post + "Content-Length: 99999999\r\n\r\n", "413", "smaller" },
    { get + "Long: " + std::string(20000, 'a') + "\r\n\r\n", "431", "fewer" },
    { unknown, "404", "release note" },
    { connect, "405", "use GET" },
    { bill + "\r\n", "400", "send an Idempotency-Key" },
    { bill + "Idempotency-Key: a b\r\n\r\n", "400", "correct the field" },
    { bill + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n",
      "400",
      "correct the field" },
    { get + "Deadline-Ms: soon\r\n\r\n", "400", "correct the field" },
    { get + "Deadline-Ms: 0\r\n\r\n", "504", "later deadline" },
    { get + "Deadline-Ms: -5\r\n\r\n", "504", "later deadline" },
  };
  for (const auto& it : cases) {
    BOOST_TEST_CONTEXT(it.mRequest.substr(0, 120))
    {
      const auto answer = SendRaw(it.mRequest);
      BOOST_TEST(answer.starts_with("HTTP/1.1 " + it.mStatus));
      BOOST_TEST(answer.find("Outcome: not_run\r\n") != std::string::npos);
      BOOST_TEST(answer.find(it.mRemedy) != std::string::npos);
    }
  }
}

BOOST_AUTO_TEST_CASE(forged_control_fields_do_not_reach_the_endpoint)
{
  const auto forged = std::vector<net::HttpField>{
    { "Fencing-Token", "999999999.thief" },
    { "Attempt-Id", "mine" },
  };
  const auto exchange = mCluster.Call(0, "quotes/x", forged);
  BOOST_TEST(exchange.mResponse.mStatus == 200U);
  // A forged token would fence every owner out.
  const auto next = mCluster.Call(1, "quotes/x");
  BOOST_TEST(next.mResponse.mStatus == 200U);
  BOOST_TEST(
    net::FindField(exchange.mResponse.mFields, "Fencing-Token").empty());
}

BOOST_AUTO_TEST_CASE(key_repeated_elsewhere_gets_the_recorded_answer)
{
  const auto fields =
    std::vector<net::HttpField>{ { "Idempotency-Key", "bill-1" },
                                 { "Request-Id", "bill-1" } };
  const auto first = mCluster.Call(0, "bills/x", fields, "body");
  const auto second = mCluster.Call(1, "bills/x", fields, "body");
  const auto other = mCluster.Call(1, "bills/x", fields, "another body");
  BOOST_TEST(first.mResponse.mStatus == 200U);
  BOOST_TEST(second.mResponse.mStatus == 200U);
  BOOST_TEST(second.mResponse.mBody == first.mResponse.mBody);
  BOOST_TEST(other.mResponse.mStatus == 422U);
  std::int64_t runs = 0;
  for (std::size_t i = 0; i < mCluster.mWorkers.size(); ++i) {
    const auto observed = mCluster.Observed(i);
    runs += base::NumberField(*base::ObjectField(observed, "runs_by_request"),
                              "bill-1");
  }
  BOOST_TEST(runs == 1);
}

BOOST_AUTO_TEST_CASE(entry_stopped_under_load_cuts_off_no_request)
{
  std::atomic<bool> stopped{ false };
  std::atomic<int> cutOff{ 0 };
  std::atomic<int> answered{ 0 };
  std::atomic<unsigned> longStatus{ 0 };
  std::vector<std::thread> callers;
  const auto leaving = mCluster.mEntries[0].mHttp;
  const auto staying = mCluster.mEntries[1].mHttp;
  constexpr int kCallers = 4;
  callers.reserve(kCallers + 1);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      auto http = SyncHttp();
      auto entry = i % 2 == 0 ? leaving : staying;
      net::HttpRequest request;
      request.mTarget = "/services/quotes/x?work_ms=40";
      while (!stopped) {
        const auto exchange = http.Exchange(entry, request);
        if (exchange.mStatus.ok()) {
          ++answered;
          // As a balancer does with an entry that says that it closes.
          const auto closes =
            net::FindField(exchange.mResponse.mFields, "Connection");
          entry = base::EqualsIgnoreCase(closes, "close") ? staying : entry;
        } else if (exchange.mProgress == net::SendProgress::MaybeSent) {
          ++cutOff;
        } else {
          entry = staying;
        }
      }
    });
  }
  // Lasts longer than the notice to the balancer and the grace together.
  callers.emplace_back([&] {
    auto http = SyncHttp();
    net::HttpRequest request;
    request.mTarget = "/services/quotes/x?work_ms=6000";
    constexpr auto kTimeout = base::Milliseconds(kLongDeadlineMs);
    const auto exchange = http.Exchange(leaving, request, kTimeout);
    cutOff += exchange.mStatus.ok() ? 0 : 1;
    longStatus = exchange.mResponse.mStatus;
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  mCluster.mEntries[0].mProcess->Terminate();
  BOOST_TEST(mCluster.mEntries[0].mProcess->Wait() == 0);
  stopped = true;
  for (auto& it : callers) {
    it.join();
  }
  BOOST_TEST(cutOff == 0);
  BOOST_TEST(longStatus == 200U);
  BOOST_TEST(answered > 0);
}

BOOST_AUTO_TEST_CASE(service_withdrawn_finishes_its_request_and_takes_no_new)
{
  std::atomic<unsigned> longStatus{ 0 };
  auto caller = std::thread([&] {
    auto http = SyncHttp();
    net::HttpRequest request;
    request.mTarget = "/services/quotes/x?work_ms=3000";
    request.mFields = { { "Request-Id", "long" } };
    longStatus =
      http.Exchange(mCluster.mEntries[0].mHttp, request).mResponse.mStatus;
  });
  const auto isRunning = [&] {
    for (std::size_t i = 0; i < mCluster.mWorkers.size(); ++i) {
      const auto observed = mCluster.Observed(i);
      const auto* runs = base::ObjectField(observed, "runs_by_request");
      if (runs->contains("long")) {
        return true;
      }
    }
    return false;
  };
  BOOST_TEST(WaitUntil(isRunning, base::Milliseconds(10000)));
  json::object services;
  services["withdraw"] = json::array{ "quotes" };
  json::object note;
  note["base"] = base::NumberField(mCluster.Status(0), "revision");
  note["services"] = std::move(services);
  mCluster.PutInForce(note);
  for (std::size_t i = 0; i < mCluster.mEntries.size(); ++i) {
    BOOST_TEST(mCluster.Call(i, "quotes/x").mResponse.mStatus == 404U);
  }
  caller.join();
  BOOST_TEST(longStatus == 200U);
}

BOOST_AUTO_TEST_SUITE_END()

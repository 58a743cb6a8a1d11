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

struct HttpFixture
{
  HttpFixture()
  {
    BOOST_TEST_REQUIRE(mCluster.WaitForOwners());
    auto note = mCluster.MakeServiceNote("quotes", true);
    note["services"]
      .as_object()["add"]
      .as_array()[0]
      .as_object()["deadline_ms"] = kLongDeadlineMs;
    const auto bills = mCluster.MakeServiceNote("bills", false);
    note["services"].as_object()["add"].as_array().push_back(
      bills.at("services").as_object().at("add").as_array().at(0));
    mCluster.ApplyNote(note);
    // An entry rebuilds its routing plan shortly after it applies a note.
    const auto isRouted = [this] {
      return mCluster.CallService(0, "quotes/x").mResponse.mStatus == 200U &&
             mCluster.CallService(1, "quotes/x").mResponse.mStatus == 200U;
    };
    BOOST_TEST_REQUIRE(WaitUntil(isRouted, base::Milliseconds(10000)));
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

BOOST_FIXTURE_TEST_SUITE(requests_http, HttpFixture)

BOOST_AUTO_TEST_CASE(malformed_request_gets_status_outcome_and_advice)
{
  struct Case
  {
    std::string mRequest;
    std::string mStatus;
    std::string mAdvice;
  };
  const auto post = std::string("POST /services/quotes/x HTTP/1.1\r\n"
                                "Host: a\r\nConnection: close\r\n");
  const auto get = std::string("GET /services/quotes/x HTTP/1.1\r\n"
                               "Host: a\r\nConnection: close\r\n");
  const auto billPost =
    std::string("POST /services/bills/x HTTP/1.1\r\nHost: a\r\n"
                "Connection: close\r\nContent-Length: 0\r\n");
  const auto unknownService =
    std::string("GET /services/none/x HTTP/1.1\r\n"
                "Host: a\r\nConnection: close\r\n\r\n");
  const auto unsupportedMethod =
    std::string("TRACE /services/quotes/x HTTP/1.1\r\n"
                "Host: a\r\nConnection: close\r\n\r\n");
  const Case cases[] = {
    { "nonsense\r\n\r\n", "400", "check the client" },
    { post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      "400",
      "check the client" },
    { post + "Content-Length: x\r\n\r\n", "400", "check the client" },
    { post + "Content-Length: 99999999\r\n\r\n", "413", "smaller" },
    { get + "Long: " + std::string(20000, 'a') + "\r\n\r\n", "431", "fewer" },
    { unknownService, "404", "release note" },
    { unsupportedMethod, "405", "use GET" },
    { billPost + "\r\n", "400", "send an Idempotency-Key" },
    { billPost + "Idempotency-Key: a b\r\n\r\n", "400", "correct the field" },
    { billPost + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n",
      "400",
      "correct the field" },
    { get + "Deadline-Ms: soon\r\n\r\n", "400", "correct the field" },
    { get + "Deadline-Ms: 0\r\n\r\n", "504", "later deadline" },
    { get + "Deadline-Ms: -5\r\n\r\n", "504", "later deadline" },
  };
  for (const auto& it : cases) {
    BOOST_TEST_CONTEXT(it.mRequest.substr(0, 120))
    {
      const auto response = SendRaw(it.mRequest);
      BOOST_TEST(response.starts_with("HTTP/1.1 " + it.mStatus));
      BOOST_TEST(response.find("Outcome: not_run\r\n") != std::string::npos);
      BOOST_TEST(response.find(it.mAdvice) != std::string::npos);
    }
  }
}

BOOST_AUTO_TEST_CASE(forged_control_fields_do_not_reach_the_endpoint)
{
  const auto forged = std::vector<net::HttpField>{
    { "Fencing-Token", "999999999.thief" },
    { "Attempt-Id", "mine" },
  };
  const auto exchange = mCluster.CallService(0, "quotes/x", forged);
  BOOST_TEST(exchange.mResponse.mStatus == 200U);
  // An endpoint that saw the forged token would fence every owner.
  const auto next = mCluster.CallService(1, "quotes/x");
  BOOST_TEST(next.mResponse.mStatus == 200U);
  BOOST_TEST(
    net::FindField(exchange.mResponse.mFields, "Fencing-Token").empty());
}

BOOST_AUTO_TEST_CASE(key_repeated_at_other_entry_gets_the_recorded_response)
{
  const auto fields =
    std::vector<net::HttpField>{ { "Idempotency-Key", "bill-1" },
                                 { "Request-Id", "bill-1" } };
  const auto first = mCluster.CallService(0, "bills/x", fields, "body");
  const auto second = mCluster.CallService(1, "bills/x", fields, "body");
  const auto other = mCluster.CallService(1, "bills/x", fields, "another body");
  BOOST_TEST(first.mResponse.mStatus == 200U);
  BOOST_TEST(second.mResponse.mStatus == 200U);
  BOOST_TEST(second.mResponse.mBody == first.mResponse.mBody);
  BOOST_TEST(other.mResponse.mStatus == 422U);
  std::int64_t runs = 0;
  for (std::size_t i = 0; i < mCluster.mWorkers.size(); ++i) {
    const auto observed = mCluster.ReadObservation(i);
    runs += base::NumberField(*base::ObjectField(observed, "runs_by_request"),
                              "bill-1");
  }
  BOOST_TEST(runs == 1);
}

BOOST_AUTO_TEST_CASE(entry_stopped_under_load_interrupts_no_request)
{
  std::atomic<bool> stopped{ false };
  std::atomic<int> interrupted{ 0 };
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
          // Switches entries as a load balancer does when a response announces
          // that the connection closes.
          const auto closes =
            net::FindField(exchange.mResponse.mFields, "Connection");
          entry = base::EqualsIgnoreCase(closes, "close") ? staying : entry;
        } else if (exchange.mProgress == net::SendProgress::MaybeSent) {
          ++interrupted;
        } else {
          entry = staying;
        }
      }
    });
  }
  // Runs longer than the readiness notice to the load balancer and the grace
  // period together.
  callers.emplace_back([&] {
    auto http = SyncHttp();
    net::HttpRequest request;
    request.mTarget = "/services/quotes/x?work_ms=6000";
    constexpr auto kTimeout = base::Milliseconds(kLongDeadlineMs);
    const auto exchange = http.Exchange(leaving, request, kTimeout);
    interrupted += exchange.mStatus.ok() ? 0 : 1;
    longStatus = exchange.mResponse.mStatus;
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  mCluster.mEntries[0].mProcess->Terminate();
  BOOST_TEST(mCluster.mEntries[0].mProcess->Wait() == 0);
  stopped = true;
  for (auto& it : callers) {
    it.join();
  }
  BOOST_TEST(interrupted == 0);
  BOOST_TEST(longStatus == 200U);
  BOOST_TEST(answered > 0);
}

BOOST_AUTO_TEST_CASE(
  service_withdrawn_finishes_running_requests_and_accepts_no_new)
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
      const auto observed = mCluster.ReadObservation(i);
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
  mCluster.ApplyNote(note);
  for (std::size_t i = 0; i < mCluster.mEntries.size(); ++i) {
    BOOST_TEST(mCluster.CallService(i, "quotes/x").mResponse.mStatus == 404U);
  }
  caller.join();
  BOOST_TEST(longStatus == 200U);
}

BOOST_AUTO_TEST_SUITE_END()

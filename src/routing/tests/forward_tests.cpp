#define BOOST_TEST_MODULE routing_requests
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "eelgrasspost/routing/routingerrors.h"
#include "internal/forward.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::routing;

/** Counts the requests that reach it. */
struct CountingRouter : IRouter
{
  auto Route(ServiceRequest aRequest) -> net::Task<ServiceOutcome> override
  {
    return RouteLocally(std::move(aRequest));
  }
  auto RouteLocally(ServiceRequest /*aRequest*/)
    -> net::Task<ServiceOutcome> override
  {
    ++mRuns;
    co_return ServiceOutcome{ Outcome::Answered, { 200, {}, "body" }, {} };
  }
  auto Run() -> net::Task<void> override { co_return; }

  int mRuns = 0;
};

struct ForwardFixture
{
  auto Run(const ForwardRequest& aForward) -> ForwardReply
  {
    ForwardReply out;
    net::asio::io_context context;
    net::asio::co_spawn(context,
                        RunForward(mRouter, mSeen, mDuplicates, aForward),
                        [&](const std::exception_ptr&, ForwardReply aReply) {
                          out = std::move(aReply);
                        });
    context.run();
    return out;
  }

  CountingRouter mRouter;
  SeenAttempts mSeen;
  base::Counter mDuplicates;
};

auto MakeForwardRequest(const std::string& aAttemptId, const std::string& aKey)
  -> ForwardRequest
{
  ForwardRequest out;
  out.mAttemptId = aAttemptId;
  out.mIdempotencyKey = aKey;
  out.mRemainingMs = 1000;
  return out;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(forward, ForwardFixture)

BOOST_AUTO_TEST_CASE(runforward_duplicate_of_keyed_request_runs_once)
{
  const auto first = Run(MakeForwardRequest("entry-1-5-1", "bill-7"));
  const auto second = Run(MakeForwardRequest("entry-1-5-1", "bill-7"));
  const auto other = Run(MakeForwardRequest("entry-1-6-1", "bill-8"));
  BOOST_TEST((first.mOutcome == Outcome::Answered));
  BOOST_TEST((second.mOutcome == Outcome::Unknown));
  BOOST_TEST((other.mOutcome == Outcome::Answered));
  BOOST_TEST(mRouter.mRuns == 2);
  BOOST_TEST(mDuplicates.Value() == 1U);
}

BOOST_AUTO_TEST_CASE(runforward_no_time_left_is_not_run)
{
  auto late = MakeForwardRequest("entry-1-5-2", "bill-9");
  late.mRemainingMs = 0;
  const auto outcome = FromForwardReply(Run(late));
  BOOST_TEST((outcome.mOutcome == Outcome::NotRun));
  BOOST_TEST(base::IsKind(outcome.mError, kDeadlinePassed));
  BOOST_TEST(mRouter.mRuns == 0);
}

BOOST_AUTO_TEST_CASE(reply_error_encoded_and_decoded_keeps_kind_and_message)
{
  const auto sent = base::MakeError(kUnknownService, "no service bills");
  const auto bytes =
    net::Encode(ToForwardReply({ Outcome::NotRun, {}, sent }, "entry-1-5-3"));
  const auto outcome = FromForwardReply(*net::Decode<ForwardReply>(bytes));
  BOOST_TEST(base::IsKind(outcome.mError, kUnknownService));
  BOOST_TEST((outcome.mError == sent));
}

BOOST_AUTO_TEST_CASE(outcomeof_reply_to_another_attempt_is_unknown)
{
  net::TypedReply<ForwardReply> reply;
  reply.mProgress = net::SendProgress::MaybeSent;
  reply.mReply =
    ToForwardReply({ Outcome::Answered, { 200, {}, "x" }, {} }, "entry-1-5-4");
  BOOST_TEST((OutcomeOf(reply, "entry-1-5-4").mOutcome == Outcome::Answered));
  const auto mismatched = OutcomeOf(reply, "entry-1-5-5");
  BOOST_TEST((mismatched.mOutcome == Outcome::Unknown));
  BOOST_TEST(mismatched.mResponse.mBody.empty());
}

BOOST_AUTO_TEST_CASE(seenattempts_many_inserts_drop_expired_ids)
{
  const auto start = base::MonotonicTime();
  constexpr int kCount = 1000;
  for (int i = 0; i < kCount; ++i) {
    const auto at = start + i * SeenAttempts::kRetention / 10;
    BOOST_TEST(mSeen.Insert(std::to_string(i), at));
    BOOST_TEST(!mSeen.Insert(std::to_string(i), at));
  }
  BOOST_TEST(mSeen.Size() < 500U);
}

BOOST_AUTO_TEST_SUITE_END()

#include "operatordoor.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "eelgrasspost/base/errors.h"
#include "eelgrasspost/base/jsonfields.h"
#include "eelgrasspost/base/text.h"
#include "jobsdoor.h"

namespace eelgrasspost::app {

namespace {

namespace json = base::json;

constexpr auto kCallTimeout = std::chrono::seconds(5);
constexpr std::string_view kActorField = "Operator";

auto Json(unsigned aStatus, const json::object& aBody) -> net::HttpResponse
{
  return { aStatus,
           { { "Content-Type", "application/json" } },
           base::ToText(aBody) + "\n" };
}

auto HttpStatusOf(absl::StatusCode aCode) -> unsigned
{
  switch (aCode) {
    case absl::StatusCode::kInvalidArgument:
      return 400;
    case absl::StatusCode::kNotFound:
      return 404;
    case absl::StatusCode::kAborted:
    case absl::StatusCode::kAlreadyExists:
      return 409;
    case absl::StatusCode::kResourceExhausted:
    case absl::StatusCode::kUnavailable:
      return 503;
    case absl::StatusCode::kDeadlineExceeded:
      return 504;
    default:
      return 500;
  }
}

auto SubmitNote(OperatorParts aParts, net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>
{
  auto actor = std::string(net::FindField(aRequest.mFields, kActorField));
  const auto revision = co_await aParts.mNotes.Submit(
    std::move(aRequest.mBody), std::move(actor), CallDeadline());
  if (!revision.ok()) {
    co_return ErrorAnswer(revision.status());
  }
  json::object body;
  body["revision"] = *revision;
  co_return Json(200, body);
}

auto ShowStatus(const OperatorParts& aParts) -> net::HttpResponse
{
  json::array members;
  for (const auto& it : aParts.mMembership.View()->mMembers) {
    json::object member;
    member["id"] = it.mIdentity.mId;
    member["failure_domain"] = it.mIdentity.mFailureDomain;
    member["state"] =
      std::string(base::NameOf(membership::kMemberStateNames, it.mState));
    member["revision"] = it.mLoad.mRevision;
    members.push_back(std::move(member));
  }
  json::array held;
  for (const auto& it : aParts.mOwnership.View()->mHeld) {
    json::object worker;
    worker["worker"] = it->mWorker.mId;
    worker["token"] = platform::ToString(it->Token());
    worker["slots"] = it->mLedger.Slots();
    worker["used"] = it->mLedger.Used();
    held.push_back(std::move(worker));
  }
  const auto state = aParts.mNotes.InForce();
  json::object body;
  body["entry"] = aParts.mMembership.Self().mId;
  body["revision"] = state ? state->mRevision : 0;
  const auto standing = aParts.mNotes.Standing();
  body["revision_known"] = standing.mIsKnown;
  body["revision_in_force_ms"] = standing.mInForceFor.count();
  body["revision_confirmed_ms_ago"] = standing.mConfirmedAgo.count();
  body["entries"] = std::move(members);
  body["owned_workers"] = std::move(held);
  return Json(200, body);
}

auto ShowReady(const OperatorParts& aParts) -> net::HttpResponse
{
  if (aParts.mStopping) {
    return { 503, {}, "stopping\n" };
  }
  if (!aParts.mNotes.InForce()) {
    return { 503, {}, "no release note is known yet\n" };
  }
  return { 200, {}, "ready\n" };
}

} // namespace

auto CallDeadline() -> base::MonotonicTime
{
  return base::MonotonicClock::now() + kCallTimeout;
}

auto JsonAnswer(unsigned aStatus, std::string aText) -> net::HttpResponse
{
  return { aStatus,
           { { "Content-Type", "application/json" } },
           std::move(aText) + "\n" };
}

auto ErrorAnswer(const absl::Status& aStatus) -> net::HttpResponse
{
  json::object body;
  body["error"] = base::KindName(aStatus);
  body["message"] = std::string(base::MessageOf(aStatus));
  return Json(HttpStatusOf(aStatus.code()), body);
}

auto AnswerOperator(OperatorParts aParts, net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>
{
  const auto& target = aRequest.mTarget;
  const auto isGet = aRequest.mMethod == "GET";
  const auto isPost = aRequest.mMethod == "POST";
  if (isGet && target == "/health") {
    co_return net::HttpResponse{ 200, {}, "alive\n" };
  }
  if (isGet && target == "/ready") {
    co_return ShowReady(aParts);
  }
  if (isGet && target == "/metrics") {
    co_return net::HttpResponse{ 200, {}, aParts.mMetrics.Render() };
  }
  if (isGet && target == "/status") {
    co_return ShowStatus(aParts);
  }
  if (isPost && target == "/release-notes") {
    co_return co_await SubmitNote(aParts, std::move(aRequest));
  }
  if (auto answer = co_await AnswerJobs(aParts, aRequest)) {
    co_return *std::move(answer);
  }
  co_return net::HttpResponse{
    404, {}, base::Cat("no page ", target, "; see docs/http-api.md\n")
  };
}

} // namespace eelgrasspost::app

#include "operatorhandler.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "eelgrasspost/base/errors.h"
#include "eelgrasspost/base/jsonfields.h"
#include "eelgrasspost/base/text.h"
#include "httpresponse.h"
#include "jobshandler.h"
#include "notehandler.h"

namespace eelgrasspost::app {

namespace {

namespace json = base::json;

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
  for (const auto& it : aParts.mOwnership.View()->mLeases) {
    json::object worker;
    worker["worker"] = it->mWorker.mId;
    worker["token"] = platform::ToString(it->Token());
    worker["slots"] = it->mLedger.Slots();
    worker["used"] = it->mLedger.Used();
    held.push_back(std::move(worker));
  }
  const auto state = aParts.mNotes.CurrentState();
  json::object body;
  body["entry"] = aParts.mMembership.Self().mId;
  body["revision"] = state ? state->mRevision : 0;
  const auto standing = aParts.mNotes.Status();
  body["revision_known"] = standing.mIsKnown;
  body["revision_in_force_ms"] = standing.mTimeSinceApplied.count();
  body["revision_confirmed_ms_ago"] = standing.mTimeSinceConfirmed.count();
  body["entries"] = std::move(members);
  body["owned_workers"] = std::move(held);
  return JsonReply(200, body);
}

auto ShowReady(const OperatorParts& aParts) -> net::HttpResponse
{
  if (aParts.mStopping) {
    return { 503, {}, "stopping\n" };
  }
  if (!aParts.mNotes.CurrentState()) {
    return { 503, {}, "no release note is known yet\n" };
  }
  return { 200, {}, "ready\n" };
}

} // namespace

auto AnswerOperator(OperatorParts aParts, net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>
{
  const auto& target = aRequest.mTarget;
  const auto isGet = aRequest.mMethod == "GET";
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
  if (IsNotePath(target)) {
    co_return co_await AnswerNotes({ aParts.mNotes, aParts.mAudit },
                                   std::move(aRequest));
  }
  if (auto answer = co_await AnswerJobs(aParts, aRequest)) {
    co_return *std::move(answer);
  }
  co_return net::HttpResponse{
    404, {}, base::Cat("no page ", target, "; see docs/http-api.md\n")
  };
}

} // namespace eelgrasspost::app

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

auto ShowStatus(const OperatorContext& aContext) -> net::HttpResponse
{
  json::array members;
  for (const auto& it : aContext.mMembership.View()->mMembers) {
    json::object member;
    member["id"] = it.mIdentity.mId;
    member["failure_domain"] = it.mIdentity.mFailureDomain;
    member["state"] =
      std::string(base::NameOf(membership::kMemberStateNames, it.mState));
    member["revision"] = it.mLoad.mRevision;
    members.push_back(std::move(member));
  }
  json::array leases;
  for (const auto& it : aContext.mOwnership.View()->mLeases) {
    json::object worker;
    worker["worker"] = it->mWorker.mId;
    worker["token"] = platform::ToString(it->Token());
    worker["slots"] = it->mLedger.Slots();
    worker["used"] = it->mLedger.Used();
    leases.push_back(std::move(worker));
  }
  const auto state = aContext.mNotes.CurrentState();
  json::object body;
  body["entry"] = aContext.mMembership.Self().mId;
  body["revision"] = state ? state->mRevision : 0;
  const auto status = aContext.mNotes.Status();
  body["revision_known"] = status.mIsKnown;
  body["revision_in_force_ms"] = status.mTimeSinceApplied.count();
  body["revision_confirmed_ms_ago"] = status.mTimeSinceConfirmed.count();
  body["entries"] = std::move(members);
  body["owned_workers"] = std::move(leases);
  return JsonResponse(200, body);
}

auto ShowReady(const OperatorContext& aContext) -> net::HttpResponse
{
  if (aContext.mIsStopping) {
    return { 503, {}, "stopping\n" };
  }
  if (!aContext.mNotes.CurrentState()) {
    return { 503, {}, "no release note is known yet\n" };
  }
  return { 200, {}, "ready\n" };
}

} // namespace

auto HandleOperatorRequest(OperatorContext aContext, net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>
{
  const auto& target = aRequest.mTarget;
  const auto isGet = aRequest.mMethod == "GET";
  if (isGet && target == "/health") {
    co_return net::HttpResponse{ 200, {}, "alive\n" };
  }
  if (isGet && target == "/ready") {
    co_return ShowReady(aContext);
  }
  if (isGet && target == "/metrics") {
    co_return net::HttpResponse{ 200, {}, aContext.mMetrics.Render() };
  }
  if (isGet && target == "/status") {
    co_return ShowStatus(aContext);
  }
  if (IsNotePath(target)) {
    co_return co_await HandleNoteRequest({ aContext.mNotes, aContext.mAudit },
                                         std::move(aRequest));
  }
  if (auto response = co_await HandleJobsRequest(aContext, aRequest)) {
    co_return *std::move(response);
  }
  co_return net::HttpResponse{
    404, {}, base::Cat("unknown path ", target, "; see docs/http-api.md\n")
  };
}

} // namespace eelgrasspost::app

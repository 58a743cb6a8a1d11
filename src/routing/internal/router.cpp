#include "router.h"

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/platform/iworker.h"
#include "eelgrasspost/routing/routingerrors.h"
#include "forward.h"

namespace eelgrasspost::routing {

namespace {

using ownership::WorkerHoldPtr;
using releasenote::EndpointSpec;
using releasenote::ServiceSpec;

struct Target
{
  WorkerHoldPtr mHold;
  net::Address mAddress;
};

/** The least used of the held workers that run a service. */
auto ChooseTarget(const ServiceSpec& aService,
                  const ownership::OwnershipView& aView,
                  base::MonotonicTime aNow) -> Target
{
  Target best;
  for (const auto& it : aService.mEndpoints) {
    const auto hold = aView.FindHeld(it.mWorker);
    if (!hold || !ownership::MayUse(*hold, aNow)) {
      continue;
    }
    if (!best.mHold || hold->mLedger.Used() < best.mHold->mLedger.Used()) {
      best = { hold, it.mAddress };
    }
  }
  return best;
}

auto NotRun(const base::ErrorKind& aKind, std::string_view aDetail)
  -> ServiceOutcome
{
  return { Outcome::NotRun, {}, base::MakeError(aKind, aDetail) };
}

auto ToHttp(const ServiceRequest& aRequest,
            const platform::FencingToken& aToken,
            const std::string& aAttemptId) -> net::HttpRequest
{
  net::HttpRequest out;
  out.mMethod = aRequest.mMethod;
  out.mTarget = aRequest.mTarget;
  out.mBody = aRequest.mBody;
  out.mFields = aRequest.mFields;
  out.mFields.push_back(
    { std::string(platform::kFencingTokenField), platform::ToString(aToken) });
  out.mFields.push_back({ std::string(platform::kAttemptIdField), aAttemptId });
  out.mFields.push_back(
    { std::string(platform::kRequestIdField), aRequest.mRequestId });
  out.mFields.push_back({ std::string(platform::kDeadlineField),
                          base::Cat(base::RemainingMs(aRequest.mDeadline)) });
  return out;
}

} // namespace

Router::Router(RouterParts aParts)
  : mParts(aParts)
{
}

auto Router::NewAttemptId() -> std::string
{
  const auto& self = mParts.mMembership.Self();
  return base::Cat(self.mId, "-", self.mIncarnation, "-", ++mAttempts);
}

auto Router::Attempt(WorkerHoldPtr aHold,
                     net::Address aEndpoint,
                     const ServiceRequest& aRequest)
  -> net::Task<ServiceOutcome>
{
  const auto attemptId = NewAttemptId();
  const auto request = ToHttp(aRequest, aHold->Token(), attemptId);
  auto exchange =
    co_await mParts.mHttp.Exchange(aEndpoint, request, aRequest.mDeadline);
  if (exchange.mStatus.ok()) {
    aHold->mLedger.Release();
    const auto refused =
      net::FindField(exchange.mResponse.mFields, platform::kRefusedField);
    if (!refused.empty()) {
      co_return NotRun(kNoSlot, base::Cat("the endpoint refused: ", refused));
    }
    co_return ServiceOutcome{ Outcome::Answered,
                              std::move(exchange.mResponse),
                              {} };
  }
  if (exchange.mProgress == net::SendProgress::NothingSent) {
    aHold->mLedger.Release();
    co_return NotRun(kNoSlot, base::MessageOf(exchange.mStatus));
  }
  aHold->mLedger.KeepForUnknown(attemptId);
  co_return ServiceOutcome{
    Outcome::Unknown,
    {},
    base::MakeError(kEndpointFailed, base::MessageOf(exchange.mStatus))
  };
}

auto Router::RouteHere(ServiceRequest aRequest) -> net::Task<ServiceOutcome>
{
  const auto state = mParts.mNotes.InForce();
  const auto* service = state ? state->FindService(aRequest.mService) : nullptr;
  if (service == nullptr) {
    co_return NotRun(kUnknownService,
                     base::Cat("no service ", aRequest.mService));
  }
  const auto target = ChooseTarget(
    *service, *mParts.mOwnership.View(), base::MonotonicClock::now());
  if (!target.mHold || !target.mHold->mLedger.TryReserve()) {
    co_return NotRun(kNoSlot,
                     base::Cat("all slots of ", service->mName, " are taken"));
  }
  co_return co_await Attempt(target.mHold, target.mAddress, aRequest);
}

auto Router::Route(ServiceRequest aRequest) -> net::Task<ServiceOutcome>
{
  const auto state = mParts.mNotes.InForce();
  auto here = co_await RouteHere(aRequest);
  const auto* service = state ? state->FindService(aRequest.mService) : nullptr;
  if (here.mOutcome != Outcome::NotRun || service == nullptr) {
    co_return here;
  }
  co_return co_await Forward(std::move(aRequest), *service);
}

auto Router::Forward(ServiceRequest aRequest, const ServiceSpec& aService)
  -> net::Task<ServiceOutcome>
{
  const auto view = mParts.mOwnership.View();
  const auto members = mParts.mMembership.View();
  for (const auto& it : aService.mEndpoints) {
    const auto* assignment = view->FindAssignment(it.mWorker);
    const auto* owner =
      assignment ? members->Find(assignment->mEntry) : nullptr;
    if (!owner || owner->mIdentity.mId == mParts.mMembership.Self().mId) {
      continue;
    }
    auto forwarded = co_await ForwardTo(
      mParts.mMessages, owner->mIdentity.mControl, aRequest, NewAttemptId());
    if (forwarded.mWasSent) {
      co_return std::move(forwarded.mOutcome);
    }
  }
  co_return NotRun(kNoSlot, "no entry has a free slot");
}

} // namespace eelgrasspost::routing

#include "attempt.h"

#include <algorithm>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/platform/iworker.h"
#include "eelgrasspost/routing/routingerrors.h"

namespace eelgrasspost::routing {

namespace {

constexpr unsigned kFirstServerError = 500;

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

auto ClassifyExchange(net::HttpExchange aExchange,
                      ownership::SlotLedger& aLedger,
                      std::string aAttemptId) -> AttemptResult
{
  if (aExchange.mStatus.ok()) {
    aLedger.Release();
    const auto refused =
      net::FindField(aExchange.mResponse.mFields, platform::kRefusedField);
    if (!refused.empty()) {
      return { NotRun(kNoSlot, base::Cat("the endpoint refused: ", refused)),
               false,
               refused == platform::kRefusedLeaving,
               base::Microseconds(0) };
    }
    const auto isFailure = aExchange.mResponse.mStatus >= kFirstServerError;
    return { { Outcome::Answered, std::move(aExchange.mResponse), {} },
             isFailure,
             false,
             base::Microseconds(0) };
  }
  if (aExchange.mProgress == net::SendProgress::NothingSent) {
    aLedger.Release();
    return { NotRun(kNoSlot, base::MessageOf(aExchange.mStatus)),
             true,
             false,
             base::Microseconds(0) };
  }
  aLedger.AddUnknownAttempt(std::move(aAttemptId));
  auto error =
    base::MakeError(kEndpointFailed, base::MessageOf(aExchange.mStatus));
  return { { Outcome::Unknown, {}, std::move(error) },
           true,
           false,
           base::Microseconds(0) };
}

auto RecordServiceTime(base::Microseconds aTime,
                       const ServicePlan& aPlan,
                       const PlannedWorker& aWorker) -> void
{
  auto& mean = aPlan.mState->mServiceTime;
  const auto average = std::max<std::int64_t>(1, mean.Value().count());
  const auto slots = aWorker.mLease->mLedger.Slots();
  if (mean.Value().count() > 0) {
    auto& state = *aWorker.mWorker;
    const auto slowdown =
      static_cast<double>(aTime.count()) / static_cast<double>(average);
    auto lock = std::lock_guard(state.mMutex);
    ObserveSlowdown(
      state.mLimiter, slowdown, slots, base::MonotonicClock::now());
    state.mLimit = CurrentLimit(state.mLimiter, slots);
  }
  mean.Observe(aTime);
}

auto RecordFailure(const ServicePlan& aPlan, EndpointState& aEndpoint) -> void
{
  auto& service = *aPlan.mState;
  auto lock = std::lock_guard(service.mMutex);
  const auto endpoints = static_cast<std::int64_t>(aPlan.mOwnedWorkers.size());
  const auto isEjected = ObserveFailure(aEndpoint.mHealth,
                                        service.mEjected,
                                        endpoints,
                                        base::MonotonicClock::now());
  aEndpoint.mConsecutiveFailures = aEndpoint.mHealth.mConsecutiveFailures;
  if (isEjected) {
    aEndpoint.mEjected = true;
    ++service.mEjected;
    service.mMetrics.mEjections.Add();
  }
}

auto RecordSuccess(const ServicePlan& aPlan, EndpointState& aEndpoint) -> void
{
  if (aEndpoint.mConsecutiveFailures.load(std::memory_order_relaxed) == 0) {
    return;
  }
  auto& service = *aPlan.mState;
  auto lock = std::lock_guard(service.mMutex);
  aEndpoint.mConsecutiveFailures = 0;
  if (ObserveSuccess(aEndpoint.mHealth)) {
    aEndpoint.mEjected = false;
    // A plan built in the meantime may already have recounted the ejected
    // endpoints.
    service.mEjected = std::max<std::int64_t>(0, service.mEjected - 1);
  }
}

} // namespace

auto NotRun(const base::ErrorKind& aKind, std::string_view aDetail)
  -> ServiceOutcome
{
  return { Outcome::NotRun, {}, base::MakeError(aKind, aDetail) };
}

auto RunAttempt(net::HttpClient& aHttp,
                const PlannedWorker& aWorker,
                const ServiceRequest& aRequest,
                std::string aAttemptId) -> net::Task<AttemptResult>
{
  const auto request = ToHttp(aRequest, aWorker.mLease->Token(), aAttemptId);
  const auto sentAt = base::MonotonicClock::now();
  auto exchange =
    co_await aHttp.Exchange(aWorker.mAddress, request, aRequest.mDeadline);
  auto out = ClassifyExchange(
    std::move(exchange), aWorker.mLease->mLedger, std::move(aAttemptId));
  out.mTime = std::chrono::duration_cast<base::Microseconds>(
    base::MonotonicClock::now() - sentAt);
  co_return out;
}

auto RecordResult(const AttemptResult& aResult,
                  const ServicePlan& aPlan,
                  const PlannedWorker& aWorker) -> void
{
  if (aResult.mIsFailure) {
    RecordFailure(aPlan, *aWorker.mEndpoint);
    return;
  }
  if (aResult.mOutcome.mOutcome == Outcome::Answered) {
    RecordSuccess(aPlan, *aWorker.mEndpoint);
    RecordServiceTime(aResult.mTime, aPlan, aWorker);
    Earn(aPlan.mState->mRetryBudget, aPlan.mRetryPercent);
  }
}

} // namespace eelgrasspost::routing

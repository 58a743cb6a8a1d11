#include <algorithm>
#include <atomic>

#include "atmostonce.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/idempotency/idempotencyerrors.h"
#include "eelgrasspost/platform/iworker.h"
#include "eelgrasspost/routing/routingerrors.h"
#include "eelgrasspost/routing/routingmodule.h"
#include "headerfilter.h"

namespace eelgrasspost::routing {

namespace {

constexpr std::string_view kServicesPath = "/services/";
constexpr std::string_view kOutcomeField = "Outcome";
constexpr std::string_view kKeyField = "Idempotency-Key";
/** Maximum length of Idempotency-Key and Request-Id in bytes. */
constexpr std::size_t kMaxIdLength = 255;

struct StatusOfKind
{
  base::ErrorKind mKind;
  unsigned mHttpStatus;
};

constexpr auto kStatusOfKinds = std::array{
  StatusOfKind{ kUnknownService, 404 },
  StatusOfKind{ kMissingIdempotencyKey, 400 },
  StatusOfKind{ kNoSlot, 503 },
  StatusOfKind{ kDeadlinePassed, 504 },
  StatusOfKind{ kEndpointFailed, 502 },
  StatusOfKind{ kNotReady, 503 },
  StatusOfKind{ kBadField, 400 },
  StatusOfKind{ kBadMethod, 405 },
  StatusOfKind{ idempotency::kKeyNotClaimed, 503 },
  StatusOfKind{ idempotency::kKeyReused, 422 },
  StatusOfKind{ idempotency::kFirstOutcomeUnknown, 502 },
};

auto HttpStatusOf(const absl::Status& aError) -> unsigned
{
  for (const auto& it : kStatusOfKinds) {
    if (base::IsKind(aError, it.mKind)) {
      return it.mHttpStatus;
    }
  }
  return 500;
}

auto ToResponse(ServiceOutcome aOutcome) -> net::HttpResponse
{
  auto name = std::string(base::NameOf(kOutcomeNames, aOutcome.mOutcome));
  if (aOutcome.mOutcome == Outcome::Answered) {
    aOutcome.mResponse.mFields =
      FilterResponseFields(aOutcome.mResponse.mFields);
    aOutcome.mResponse.mFields.push_back({ std::string(kOutcomeField), name });
    return std::move(aOutcome.mResponse);
  }
  return { HttpStatusOf(aOutcome.mError),
           { { std::string(kOutcomeField), name } },
           base::Cat(base::MessageOf(aOutcome.mError), "\n") };
}

auto Refuse(const base::ErrorKind& aKind, std::string_view aDetail)
  -> net::HttpResponse
{
  return ToResponse({ Outcome::NotRun, {}, base::MakeError(aKind, aDetail) });
}

/** Only visible ASCII, so that ids are safe in table rows, logs and header
 * fields. */
auto IsValidId(std::string_view aText) -> bool
{
  const auto isVisible = [](char aChar) { return aChar > ' ' && aChar <= '~'; };
  return aText.size() <= kMaxIdLength && std::ranges::all_of(aText, isVisible);
}

/** Validates the header fields that the router reads; each may occur at most
 * once. */
auto CheckFields(const std::vector<net::HttpField>& aFields) -> absl::Status
{
  constexpr auto kCheckedFields = std::array<std::string_view, 3>{
    kKeyField, platform::kRequestIdField, platform::kDeadlineField
  };
  for (const auto name : kCheckedFields) {
    const auto isName = [&](const net::HttpField& aField) {
      return base::EqualsIgnoreCase(aField.mName, name);
    };
    if (std::ranges::count_if(aFields, isName) > 1) {
      return base::MakeError(kBadField,
                             base::Cat(name, " occurs more than once"));
    }
    if (!IsValidId(net::FindField(aFields, name))) {
      return base::MakeError(
        kBadField,
        base::Cat(name, " must consist of 1 to 255 visible ASCII characters"));
    }
  }
  const auto deadline = net::FindField(aFields, platform::kDeadlineField);
  if (!deadline.empty() && !base::ParseNumber(deadline)) {
    return base::MakeError(
      kBadField, base::Cat(platform::kDeadlineField, " is not a number"));
  }
  return absl::OkStatus();
}

auto CheckRequest(const net::HttpRequest& aRequest) -> absl::Status
{
  if (aRequest.mMethod == "CONNECT" || aRequest.mMethod == "TRACE") {
    return base::MakeError(kBadMethod,
                           base::Cat(aRequest.mMethod, " is not supported"));
  }
  return CheckFields(aRequest.mFields);
}

auto NewRequestId() -> std::string
{
  static std::atomic<std::uint64_t> counter{ 0 };
  return base::Cat("r", base::WallClockMs(), "-", ++counter);
}

auto ToServiceRequest(net::HttpRequest aRequest,
                      std::string aService,
                      std::string aTarget,
                      std::int64_t aMaxMs) -> ServiceRequest
{
  const auto requested = base::ParseNumber(
    net::FindField(aRequest.mFields, platform::kDeadlineField));
  const auto deadlineMs = std::min(requested.value_or(aMaxMs), aMaxMs);
  ServiceRequest out;
  out.mService = std::move(aService);
  out.mTarget = std::move(aTarget);
  out.mMethod = std::move(aRequest.mMethod);
  out.mRequestId = net::FindField(aRequest.mFields, platform::kRequestIdField);
  if (out.mRequestId.empty()) {
    out.mRequestId = NewRequestId();
  }
  out.mIdempotencyKey = net::FindField(aRequest.mFields, kKeyField);
  out.mFields = FilterRequestFields(aRequest.mFields);
  out.mBody = std::move(aRequest.mBody);
  out.mDeadline = base::MonotonicClock::now() + base::Milliseconds(deadlineMs);
  return out;
}

} // namespace

auto HandleServiceRequest(IRouter& aRouter,
                          releasenote::IReleaseNotes& aNotes,
                          idempotency::IIdempotency& aKeys,
                          net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>
{
  const auto rest = aRequest.mTarget.substr(kServicesPath.size());
  const auto slash = std::min(rest.find_first_of("/?"), rest.size());
  const auto name = rest.substr(0, slash);
  const auto target = slash < rest.size() ? rest.substr(slash) : "/";
  const auto state = aNotes.CurrentState();
  if (!state) {
    co_return Refuse(kNotReady, "this entry has no release note yet");
  }
  const auto* service = state->FindService(name);
  if (service == nullptr) {
    co_return Refuse(kUnknownService,
                     base::Cat("no service ", name, " is in force"));
  }
  if (const auto bad = CheckRequest(aRequest); !bad.ok()) {
    co_return ToResponse({ Outcome::NotRun, {}, bad });
  }
  auto request =
    ToServiceRequest(std::move(aRequest), name, target, service->mDeadlineMs);
  if (request.mDeadline <= base::MonotonicClock::now()) {
    co_return Refuse(kDeadlinePassed, "the deadline is not in the future");
  }
  if (!service->mIdempotent && request.mIdempotencyKey.empty()) {
    co_return Refuse(kMissingIdempotencyKey,
                     base::Cat(name, " is not idempotent"));
  }
  if (!service->mIdempotent) {
    co_return ToResponse(
      co_await RouteAtMostOnce(aRouter, aKeys, std::move(request)));
  }
  co_return ToResponse(co_await aRouter.Route(std::move(request)));
}

} // namespace eelgrasspost::routing

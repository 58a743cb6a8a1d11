#include "platformcall.h"

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/platform/platformerrors.h"

namespace eelgrasspost::platform {

auto PostJson(net::HttpClient& aClient,
              net::Address aAddress,
              std::string aTarget,
              base::json::object aBody,
              base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<PlatformResponse>>
{
  auto request = net::HttpRequest();
  request.mMethod = "POST";
  request.mTarget = aTarget;
  request.mBody = base::ToText(aBody);
  const auto exchange = co_await aClient.Exchange(aAddress, request, aDeadline);
  if (!exchange.mStatus.ok()) {
    const auto& kind = exchange.mProgress == net::SendProgress::NothingSent
                         ? kNotReached
                         : kNoResponse;
    co_return base::MakeError(kind, base::MessageOf(exchange.mStatus));
  }
  const auto& response = exchange.mResponse;
  constexpr unsigned kServerError = 500;
  if (response.mStatus >= kServerError) {
    co_return base::MakeError(
      kNoResponse,
      base::Cat(aTarget, " responded with status ", response.mStatus));
  }
  auto body = base::ParseObject(response.mBody);
  if (!body.ok()) {
    co_return base::MakeError(kMalformedResponse,
                              base::MessageOf(body.status()));
  }
  co_return PlatformResponse{ response.mStatus, *std::move(body) };
}

} // namespace eelgrasspost::platform

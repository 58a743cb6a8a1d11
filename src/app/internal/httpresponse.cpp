#include "httpresponse.h"

#include <string>

#include "eelgrasspost/base/errors.h"
#include "eelgrasspost/base/text.h"

namespace eelgrasspost::app {

namespace {

constexpr auto kCallTimeout = std::chrono::seconds(5);

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

} // namespace

auto CallDeadline() -> base::MonotonicTime
{
  return base::MonotonicClock::now() + kCallTimeout;
}

auto JsonTextResponse(unsigned aStatus, std::string aText) -> net::HttpResponse
{
  return { aStatus,
           { { "Content-Type", "application/json" } },
           std::move(aText) + "\n" };
}

auto JsonResponse(unsigned aStatus, const base::json::object& aBody)
  -> net::HttpResponse
{
  return JsonTextResponse(aStatus, base::ToText(aBody));
}

auto ErrorResponse(const absl::Status& aStatus) -> net::HttpResponse
{
  base::json::object body;
  body["error"] = base::KindName(aStatus);
  body["message"] = std::string(base::MessageOf(aStatus));
  return JsonResponse(HttpStatusOf(aStatus.code()), body);
}

} // namespace eelgrasspost::app

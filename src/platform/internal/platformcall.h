#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "eelgrasspost/base/jsonfields.h"
#include "eelgrasspost/net/http.h"

namespace eelgrasspost::platform {

struct PlatformResponse
{
  unsigned mStatus = 0;
  base::json::object mBody;
};

/** Posts a JSON object. Errors: kNotReached, kNoResponse,
 * kMalformedResponse. */
auto PostJson(net::HttpClient& aClient,
              net::Address aAddress,
              std::string aTarget,
              base::json::object aBody,
              base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<PlatformResponse>>;

} // namespace eelgrasspost::platform

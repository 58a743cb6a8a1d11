#include "eelgrasspost/base/text.h"
#include "eelgrasspost/platform/platformerrors.h"
#include "httpports.h"
#include "platformcall.h"

namespace eelgrasspost::platform {

HttpObjectStore::HttpObjectStore(net::HttpClient& aClient,
                                 net::Address aService)
  : mClient(aClient)
  , mService(std::move(aService))
{
}

auto HttpObjectStore::Put(std::string aKey,
                          std::string aBytes,
                          base::MonotonicTime aDeadline)
  -> net::Task<absl::Status>
{
  base::json::object body;
  body["key"] = aKey;
  body["bytes"] = aBytes;
  const auto response = co_await PostJson(
    mClient, mService, "/objects/put", std::move(body), aDeadline);
  co_return response.status();
}

auto HttpObjectStore::Get(std::string aKey, base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<std::optional<std::string>>>
{
  base::json::object body;
  body["key"] = aKey;
  const auto response = co_await PostJson(
    mClient, mService, "/objects/get", std::move(body), aDeadline);
  if (!response.ok()) {
    co_return response.status();
  }
  if (!response->mBody.contains("bytes")) {
    co_return std::optional<std::string>();
  }
  co_return std::optional(base::TextField(response->mBody, "bytes"));
}

} // namespace eelgrasspost::platform

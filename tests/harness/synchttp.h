#pragma once

#include <functional>

#include "eelgrasspost/base/jsonfields.h"
#include "eelgrasspost/net/http.h"
#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::harness {

namespace json = base::json;

/** Blocking HTTP client for tests. */
class SyncHttp
{
public:
  SyncHttp();

  auto Exchange(const net::Address& aAddress,
                const net::HttpRequest& aRequest,
                base::Milliseconds aTimeout = base::Milliseconds(10000))
    -> net::HttpExchange;
  /** Posts JSON and returns the JSON response; throws if there is none. */
  auto Post(const net::Address& aAddress,
            const std::string& aTarget,
            const json::object& aBody) -> json::object;
  auto Get(const net::Address& aAddress, const std::string& aTarget)
    -> net::HttpExchange;

private:
  net::IoPool mPool{ 1 };
  net::HttpClient mClient{ 1, {} };
};

/** Polls a condition; returns whether it held before the timeout. */
auto WaitUntil(const std::function<bool()>& aCondition,
               base::Milliseconds aTimeout) -> bool;

} // namespace eelgrasspost::harness

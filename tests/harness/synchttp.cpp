#include "synchttp.h"

#include <future>
#include <stdexcept>
#include <thread>

#include "eelgrasspost/base/text.h"

namespace eelgrasspost::harness {

SyncHttp::SyncHttp()
{
  mPool.Start();
}

auto SyncHttp::Exchange(const net::Address& aAddress,
                        const net::HttpRequest& aRequest,
                        base::Milliseconds aTimeout) -> net::HttpExchange
{
  std::promise<net::HttpExchange> promise;
  auto run = [&]() -> net::Task<void> {
    promise.set_value(co_await mClient.Exchange(
      aAddress, aRequest, base::MonotonicClock::now() + aTimeout));
  };
  mPool.Spawn(mPool.Executor(0), run());
  return promise.get_future().get();
}

auto SyncHttp::Post(const net::Address& aAddress,
                    const std::string& aTarget,
                    const json::object& aBody) -> json::object
{
  auto request = net::HttpRequest();
  request.mMethod = "POST";
  request.mTarget = aTarget;
  request.mBody = base::ToText(aBody);
  const auto exchange = Exchange(aAddress, request);
  if (!exchange.mStatus.ok()) {
    throw std::runtime_error(std::string(base::MessageOf(exchange.mStatus)));
  }
  return base::ParseObject(exchange.mResponse.mBody).value();
}

auto SyncHttp::Get(const net::Address& aAddress, const std::string& aTarget)
  -> net::HttpExchange
{
  auto request = net::HttpRequest();
  request.mTarget = aTarget;
  return Exchange(aAddress, request);
}

auto WaitUntil(const std::function<bool()>& aCondition,
               base::Milliseconds aTimeout) -> bool
{
  constexpr auto kInterval = base::Milliseconds(20);
  const auto end = base::MonotonicClock::now() + aTimeout;
  while (base::MonotonicClock::now() < end) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(kInterval);
  }
  return aCondition();
}

} // namespace eelgrasspost::harness

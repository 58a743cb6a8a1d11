#include "eelgrasspost/platform/platformmodule.h"

#include "internal/httpports.h"

namespace eelgrasspost::platform {

auto MakeHttpTable(net::HttpClient& aClient, net::Address aService)
  -> std::unique_ptr<ITable>
{
  return std::make_unique<HttpTable>(aClient, std::move(aService));
}

auto MakeHttpObjectStore(net::HttpClient& aClient, net::Address aService)
  -> std::unique_ptr<IObjectStore>
{
  return std::make_unique<HttpObjectStore>(aClient, std::move(aService));
}

auto MakeHttpVmList(net::HttpClient& aClient, net::Address aService)
  -> std::unique_ptr<IVmList>
{
  return std::make_unique<HttpVmList>(aClient, std::move(aService));
}

auto MakeHttpWorker(net::HttpClient& aClient) -> std::unique_ptr<IWorker>
{
  return std::make_unique<HttpWorker>(aClient);
}

} // namespace eelgrasspost::platform

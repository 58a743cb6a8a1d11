#pragma once

#include <memory>

#include "eelgrasspost/net/http.h"
#include "eelgrasspost/platform/iobjectstore.h"
#include "eelgrasspost/platform/itable.h"
#include "eelgrasspost/platform/ivmlist.h"
#include "eelgrasspost/platform/iworker.h"

namespace eelgrasspost::platform {

/** HTTP clients of the platform with JSON bodies. */
auto MakeHttpTable(net::HttpClient& aClient, net::Address aService)
  -> std::unique_ptr<ITable>;
auto MakeHttpObjectStore(net::HttpClient& aClient, net::Address aService)
  -> std::unique_ptr<IObjectStore>;
auto MakeHttpVmList(net::HttpClient& aClient, net::Address aService)
  -> std::unique_ptr<IVmList>;
auto MakeHttpWorker(net::HttpClient& aClient) -> std::unique_ptr<IWorker>;

} // namespace eelgrasspost::platform

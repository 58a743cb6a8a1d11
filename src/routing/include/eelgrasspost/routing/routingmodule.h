#pragma once

#include <memory>

#include "eelgrasspost/base/metrics.h"
#include "eelgrasspost/idempotency/iidempotency.h"
#include "eelgrasspost/membership/imembership.h"
#include "eelgrasspost/net/messages.h"
#include "eelgrasspost/ownership/iownership.h"
#include "eelgrasspost/platform/itable.h"
#include "eelgrasspost/releasenote/ireleasenotes.h"
#include "eelgrasspost/routing/irouter.h"

namespace eelgrasspost::routing {

/** Dependencies of a router; references must outlive it. */
struct RouterDependencies
{
  net::HttpClient& mHttp;
  net::MessageClient& mMessages;
  platform::ITable& mTable;
  membership::IMembership& mMembership;
  ownership::IOwnership& mOwnership;
  releasenote::IReleaseNotes& mNotes;
  base::Metrics& mMetrics;
  RouterOptions mOptions = {};
};

auto MakeRouter(RouterDependencies aDependencies) -> std::unique_ptr<IRouter>;

/** Registers the handler for requests that other entries forward; must be
 * called before Listen(). */
auto RegisterForwardHandler(net::MessageServer& aServer,
                            IRouter& aRouter,
                            base::Metrics& aMetrics) -> void;

/** Handles a caller's HTTP request to /services/<name>/... */
auto HandleServiceRequest(IRouter& aRouter,
                          releasenote::IReleaseNotes& aNotes,
                          idempotency::IIdempotency& aKeys,
                          net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>;

} // namespace eelgrasspost::routing

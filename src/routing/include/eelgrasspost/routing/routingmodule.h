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

/** What a router works with. */
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

/** Runs the requests that other entries forward; called before Listen(). */
auto RegisterForwardHandler(net::MessageServer& aServer,
                            IRouter& aRouter,
                            base::Metrics& aMetrics) -> void;

/** Answers a caller's HTTP request to /services/<name>/... */
auto HandleServiceRequest(IRouter& aRouter,
                          releasenote::IReleaseNotes& aNotes,
                          idempotency::IIdempotency& aKeys,
                          net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>;

} // namespace eelgrasspost::routing

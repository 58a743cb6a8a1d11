#pragma once

#include "entry.h"

namespace eelgrasspost::app {

/** Modules and state that the handlers of operators' requests use. */
struct OperatorContext
{
  base::Metrics& mMetrics;
  membership::IMembership& mMembership;
  ownership::IOwnership& mOwnership;
  releasenote::IReleaseNotes& mNotes;
  batch::IJobs& mJobs;
  audit::IAuditTrail& mAudit;
  bool mIsStopping = false;
};

/** Handles an operator's request; the status is 404 if the path is unknown. */
auto HandleOperatorRequest(OperatorContext aContext, net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>;

} // namespace eelgrasspost::app

#pragma once

#include "entry.h"

namespace eelgrasspost::app {

/** What the operators' HTTP pages read and change. */
struct OperatorParts
{
  base::Metrics& mMetrics;
  membership::IMembership& mMembership;
  ownership::IOwnership& mOwnership;
  releasenote::IReleaseNotes& mNotes;
  batch::IJobs& mJobs;
  audit::IAuditTrail& mAudit;
  bool mStopping = false;
};

/** Answers an operator's request; 404 when the path is none of theirs. */
auto AnswerOperator(OperatorParts aParts, net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>;

} // namespace eelgrasspost::app

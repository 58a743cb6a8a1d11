#pragma once

#include "eelgrasspost/audit/iaudittrail.h"
#include "eelgrasspost/net/http.h"
#include "eelgrasspost/releasenote/ireleasenotes.h"

namespace eelgrasspost::app {

/** What the pages of release notes and audit read and change. */
struct NoteParts
{
  releasenote::IReleaseNotes& mNotes;
  audit::IAuditTrail& mAudit;
};

/** Whether a path belongs to release notes or the audit trail. */
auto IsNotePath(std::string_view aTarget) -> bool;

/** Answers /release-notes, /release-notes/plan, /release-notes/REVISION and
 * /audit. */
auto AnswerNotes(NoteParts aParts, net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>;

} // namespace eelgrasspost::app

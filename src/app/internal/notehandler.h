#pragma once

#include "eelgrasspost/audit/iaudittrail.h"
#include "eelgrasspost/net/http.h"
#include "eelgrasspost/releasenote/ireleasenotes.h"

namespace eelgrasspost::app {

/** Modules that the handlers of release notes and audit use. */
struct NoteContext
{
  releasenote::IReleaseNotes& mNotes;
  audit::IAuditTrail& mAudit;
};

/** Returns whether a request target belongs to release notes or the audit
 * trail. */
auto IsNotePath(std::string_view aTarget) -> bool;

/** Handles /release-notes, /release-notes/plan, /release-notes/REVISION and
 * /audit. */
auto HandleNoteRequest(NoteContext aContext, net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>;

} // namespace eelgrasspost::app

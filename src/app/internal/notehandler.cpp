#include "notehandler.h"

#include "eelgrasspost/audit/auditrecord.h"
#include "eelgrasspost/base/errors.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/releasenote/notecodec.h"
#include "eelgrasspost/releasenote/releasenoteerrors.h"
#include "httpresponse.h"

namespace eelgrasspost::app {

namespace {

namespace json = base::json;

constexpr std::string_view kNotePath = "/release-notes";
constexpr std::string_view kAuditPath = "/audit";
constexpr std::string_view kActorField = "Operator";
constexpr std::size_t kMaxRecords = 1000;
constexpr std::int64_t kDefaultRecords = 100;

auto PathOf(std::string_view aTarget) -> std::string_view
{
  return aTarget.substr(0, aTarget.find('?'));
}

/** Returns the value of a query parameter; empty if it is absent. */
auto QueryParameter(const std::string& aTarget, std::string_view aName)
  -> std::string
{
  const auto queryStart = aTarget.find('?');
  if (queryStart == std::string::npos) {
    return {};
  }
  const auto prefix = base::Cat(aName, "=");
  for (const auto& it : base::Split(aTarget.substr(queryStart + 1), '&')) {
    if (it.starts_with(prefix)) {
      return it.substr(prefix.size());
    }
  }
  return {};
}

auto NumberQueryParameter(const std::string& aTarget,
                          std::string_view aName,
                          std::int64_t aFallback) -> std::int64_t
{
  return base::ParseNumber(QueryParameter(aTarget, aName)).value_or(aFallback);
}

auto RecordLimit(const std::string& aTarget) -> std::size_t
{
  const auto n = NumberQueryParameter(aTarget, "limit", kDefaultRecords);
  return std::min(kMaxRecords,
                  static_cast<std::size_t>(std::max<std::int64_t>(1, n)));
}

auto SubmitNote(releasenote::IReleaseNotes& aNotes, net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>
{
  auto actor = std::string(net::FindField(aRequest.mFields, kActorField));
  const auto revision = co_await aNotes.Submit(
    std::move(aRequest.mBody), std::move(actor), CallDeadline());
  if (!revision.ok()) {
    co_return ErrorResponse(revision.status());
  }
  json::object body;
  body["revision"] = *revision;
  co_return JsonResponse(200, body);
}

auto PlanNote(const releasenote::IReleaseNotes& aNotes,
              net::HttpRequest aRequest) -> net::HttpResponse
{
  const auto against = base::ParseNumber<std::uint64_t>(
    QueryParameter(aRequest.mTarget, "against"));
  const auto plan = aNotes.Plan(std::move(aRequest.mBody), against);
  if (!plan.ok()) {
    return ErrorResponse(plan.status());
  }
  json::array changes;
  for (const auto& it : plan->mChanges) {
    json::object change;
    change["sort"] = it.mKind;
    change["action"] = it.mAction;
    change["name"] = it.mName;
    change["before"] = it.mBefore;
    change["after"] = it.mAfter;
    changes.push_back(std::move(change));
  }
  json::object body;
  body["against"] = plan->mAgainst;
  body["newest"] = plan->mNewestRevision;
  body["changes"] = std::move(changes);
  return JsonResponse(200, body);
}

auto Summary(const releasenote::NoteRevision& aRevision) -> json::object
{
  json::object out;
  out["revision"] = aRevision.mRevision;
  out["actor"] = aRevision.mActor;
  out["when_ms"] = aRevision.mTimestampMs;
  out["summary"] = releasenote::SummaryOf(aRevision.mNote);
  return out;
}

auto ListHistory(releasenote::IReleaseNotes& aNotes, std::string aTarget)
  -> net::Task<net::HttpResponse>
{
  const auto limit = RecordLimit(aTarget);
  const auto newest = aNotes.Status().mRevision;
  const auto first = newest > limit ? newest - limit : 0;
  const auto after =
    NumberQueryParameter(aTarget, "after", static_cast<std::int64_t>(first));
  const auto revisions = co_await aNotes.History(
    static_cast<std::uint64_t>(std::max<std::int64_t>(0, after)),
    limit,
    CallDeadline());
  if (!revisions.ok()) {
    co_return ErrorResponse(revisions.status());
  }
  json::array list;
  for (const auto& it : *revisions) {
    list.push_back(Summary(it));
  }
  json::object body;
  body["revisions"] = std::move(list);
  co_return JsonResponse(200, body);
}

auto ShowRevision(releasenote::IReleaseNotes& aNotes, std::string aName)
  -> net::Task<net::HttpResponse>
{
  const auto number = base::ParseNumber<std::uint64_t>(aName);
  if (!number || *number == 0) {
    co_return ErrorResponse(base::MakeError(
      releasenote::kUnknownRevision,
      base::Cat("'", aName, "' is not a revision number (1 or greater)")));
  }
  const auto found = co_await aNotes.History(*number - 1, 1, CallDeadline());
  if (!found.ok()) {
    co_return ErrorResponse(found.status());
  }
  if (found->empty() || found->front().mRevision != *number) {
    co_return ErrorResponse(base::MakeError(
      releasenote::kUnknownRevision,
      base::Cat("revision ", *number, " was not accepted or is not kept")));
  }
  const auto& revision = found->front();
  auto body = Summary(revision);
  body["note"] =
    base::ParseObject(releasenote::EncodeNote(revision.mNote)).value();
  co_return JsonResponse(200, body);
}

auto ListAudit(audit::IAuditTrail& aAudit, std::string aTarget)
  -> net::Task<net::HttpResponse>
{
  audit::AuditFilter filter;
  filter.mSinceMs = NumberQueryParameter(aTarget, "since", 0);
  filter.mActor = QueryParameter(aTarget, "actor");
  filter.mObject = QueryParameter(aTarget, "object");
  filter.mLimit = RecordLimit(aTarget);
  const auto records = co_await aAudit.Read(filter, CallDeadline());
  if (!records.ok()) {
    co_return ErrorResponse(records.status());
  }
  json::array list;
  for (const auto& it : *records) {
    list.push_back(base::ParseObject(audit::EncodeAudit(it)).value());
  }
  json::object body;
  body["records"] = std::move(list);
  co_return JsonResponse(200, body);
}

} // namespace

auto IsNotePath(std::string_view aTarget) -> bool
{
  const auto path = PathOf(aTarget);
  return path == kAuditPath || path == kNotePath ||
         path.starts_with(base::Cat(kNotePath, "/"));
}

auto HandleNoteRequest(NoteContext aContext, net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>
{
  const auto path = std::string(PathOf(aRequest.mTarget));
  const auto isGet = aRequest.mMethod == "GET";
  if (path == kAuditPath && isGet) {
    co_return co_await ListAudit(aContext.mAudit, aRequest.mTarget);
  }
  if (path == kNotePath && !isGet) {
    co_return co_await SubmitNote(aContext.mNotes, std::move(aRequest));
  }
  if (path == kNotePath) {
    co_return co_await ListHistory(aContext.mNotes, aRequest.mTarget);
  }
  if (path == "/release-notes/plan" && !isGet) {
    co_return PlanNote(aContext.mNotes, std::move(aRequest));
  }
  co_return co_await ShowRevision(aContext.mNotes,
                                  path.substr(kNotePath.size() + 1));
}

} // namespace eelgrasspost::app

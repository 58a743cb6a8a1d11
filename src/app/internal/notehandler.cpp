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
constexpr std::size_t kMostRecords = 1000;
constexpr std::int64_t kDefaultRecords = 100;

auto PathOf(std::string_view aTarget) -> std::string_view
{
  return aTarget.substr(0, aTarget.find('?'));
}

/** Value of a query's parameter; empty when it is absent. */
auto Parameter(const std::string& aTarget, std::string_view aName)
  -> std::string
{
  const auto mark = aTarget.find('?');
  if (mark == std::string::npos) {
    return {};
  }
  const auto wanted = base::Cat(aName, "=");
  for (const auto& it : base::Split(aTarget.substr(mark + 1), '&')) {
    if (it.starts_with(wanted)) {
      return it.substr(wanted.size());
    }
  }
  return {};
}

auto NumberParameter(const std::string& aTarget,
                     std::string_view aName,
                     std::int64_t aFallback) -> std::int64_t
{
  return base::ParseNumber(Parameter(aTarget, aName)).value_or(aFallback);
}

auto LimitOf(const std::string& aTarget) -> std::size_t
{
  const auto n = NumberParameter(aTarget, "limit", kDefaultRecords);
  return std::min(kMostRecords,
                  static_cast<std::size_t>(std::max<std::int64_t>(1, n)));
}

auto SubmitNote(releasenote::IReleaseNotes& aNotes, net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>
{
  auto actor = std::string(net::FindField(aRequest.mFields, kActorField));
  const auto revision = co_await aNotes.Submit(
    std::move(aRequest.mBody), std::move(actor), CallDeadline());
  if (!revision.ok()) {
    co_return ErrorReply(revision.status());
  }
  json::object body;
  body["revision"] = *revision;
  co_return JsonReply(200, body);
}

auto PlanNote(const releasenote::IReleaseNotes& aNotes,
              net::HttpRequest aRequest) -> net::HttpResponse
{
  const auto against =
    base::ParseNumber<std::uint64_t>(Parameter(aRequest.mTarget, "against"));
  const auto plan = aNotes.Plan(std::move(aRequest.mBody), against);
  if (!plan.ok()) {
    return ErrorReply(plan.status());
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
  return JsonReply(200, body);
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
  const auto limit = LimitOf(aTarget);
  const auto newest = aNotes.Status().mRevision;
  const auto first = newest > limit ? newest - limit : 0;
  const auto after =
    NumberParameter(aTarget, "after", static_cast<std::int64_t>(first));
  const auto revisions = co_await aNotes.History(
    static_cast<std::uint64_t>(std::max<std::int64_t>(0, after)),
    limit,
    CallDeadline());
  if (!revisions.ok()) {
    co_return ErrorReply(revisions.status());
  }
  json::array list;
  for (const auto& it : *revisions) {
    list.push_back(Summary(it));
  }
  json::object body;
  body["revisions"] = std::move(list);
  co_return JsonReply(200, body);
}

auto ShowRevision(releasenote::IReleaseNotes& aNotes, std::string aName)
  -> net::Task<net::HttpResponse>
{
  const auto number = base::ParseNumber<std::uint64_t>(aName);
  if (!number || *number == 0) {
    co_return ErrorReply(
      base::MakeError(releasenote::kUnknownRevision,
                      base::Cat("'", aName, "' is no revision from 1 on")));
  }
  const auto found = co_await aNotes.History(*number - 1, 1, CallDeadline());
  if (!found.ok()) {
    co_return ErrorReply(found.status());
  }
  if (found->empty() || found->front().mRevision != *number) {
    co_return ErrorReply(base::MakeError(
      releasenote::kUnknownRevision,
      base::Cat("revision ", *number, " was not accepted or is not kept")));
  }
  const auto& revision = found->front();
  auto body = Summary(revision);
  body["note"] =
    base::ParseObject(releasenote::EncodeNote(revision.mNote)).value();
  co_return JsonReply(200, body);
}

auto ListAudit(audit::IAuditTrail& aAudit, std::string aTarget)
  -> net::Task<net::HttpResponse>
{
  audit::AuditFilter filter;
  filter.mSinceMs = NumberParameter(aTarget, "since", 0);
  filter.mActor = Parameter(aTarget, "actor");
  filter.mObject = Parameter(aTarget, "object");
  filter.mLimit = LimitOf(aTarget);
  const auto records = co_await aAudit.Read(filter, CallDeadline());
  if (!records.ok()) {
    co_return ErrorReply(records.status());
  }
  json::array list;
  for (const auto& it : *records) {
    list.push_back(base::ParseObject(audit::EncodeAudit(it)).value());
  }
  json::object body;
  body["records"] = std::move(list);
  co_return JsonReply(200, body);
}

} // namespace

auto IsNotePath(std::string_view aTarget) -> bool
{
  const auto path = PathOf(aTarget);
  return path == kAuditPath || path == kNotePath ||
         path.starts_with(base::Cat(kNotePath, "/"));
}

auto AnswerNotes(NoteParts aParts, net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>
{
  const auto path = std::string(PathOf(aRequest.mTarget));
  const auto isGet = aRequest.mMethod == "GET";
  if (path == kAuditPath && isGet) {
    co_return co_await ListAudit(aParts.mAudit, aRequest.mTarget);
  }
  if (path == kNotePath && !isGet) {
    co_return co_await SubmitNote(aParts.mNotes, std::move(aRequest));
  }
  if (path == kNotePath) {
    co_return co_await ListHistory(aParts.mNotes, aRequest.mTarget);
  }
  if (path == "/release-notes/plan" && !isGet) {
    co_return PlanNote(aParts.mNotes, std::move(aRequest));
  }
  co_return co_await ShowRevision(aParts.mNotes,
                                  path.substr(kNotePath.size() + 1));
}

} // namespace eelgrasspost::app

#include "jobshandler.h"

#include "eelgrasspost/base/errors.h"
#include "eelgrasspost/base/jsonfields.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/batch/batcherrors.h"
#include "eelgrasspost/batch/jobcodec.h"
#include "httpresponse.h"

namespace eelgrasspost::app {

namespace {

namespace json = base::json;

constexpr std::string_view kJobs = "/jobs";
constexpr std::string_view kJobPath = "/jobs/";
constexpr std::string_view kAfter = "/jobs?after=";
constexpr std::string_view kCancelMany = "/jobs/cancel";
constexpr std::string_view kCancelSuffix = "/cancel";
/** Jobs that one call cancels, at most. */
constexpr std::size_t kMostCancels = 10'000;

auto SubmitJob(OperatorParts aParts, std::string aText)
  -> net::Task<net::HttpResponse>
{
  const auto job = batch::ParseJob(aText);
  if (!job.ok()) {
    co_return ErrorReply(job.status());
  }
  const auto status = co_await aParts.mJobs.Submit(*job, CallDeadline());
  if (!status.ok()) {
    co_return ErrorReply(status);
  }
  json::object body;
  body["job"] = job->mId;
  co_return JsonTextReply(200, base::ToText(body));
}

auto ShowJob(OperatorParts aParts, std::string aJob)
  -> net::Task<net::HttpResponse>
{
  const auto status =
    co_await aParts.mJobs.Status(std::move(aJob), CallDeadline());
  if (!status.ok()) {
    co_return ErrorReply(status.status());
  }
  co_return JsonTextReply(200, batch::EncodeStatus(*status));
}

auto ListJobs(OperatorParts aParts, std::string aAfter)
  -> net::Task<net::HttpResponse>
{
  const auto jobs =
    co_await aParts.mJobs.List(std::move(aAfter), CallDeadline());
  if (!jobs.ok()) {
    co_return ErrorReply(jobs.status());
  }
  co_return JsonTextReply(200, batch::EncodeJobList(*jobs));
}

auto CancelJobs(OperatorParts aParts, std::vector<std::string> aJobs)
  -> net::Task<net::HttpResponse>
{
  const auto count = aJobs.size();
  const auto status =
    co_await aParts.mJobs.Cancel(std::move(aJobs), CallDeadline());
  if (!status.ok()) {
    co_return ErrorReply(status);
  }
  json::object body;
  body["cancelling"] = count;
  co_return JsonTextReply(200, base::ToText(body));
}

/** Reads {"jobs": ["ID", ...]}. */
auto ParseIds(std::string_view aText)
  -> absl::StatusOr<std::vector<std::string>>
{
  const auto root = base::ParseObject(aText);
  if (!root.ok()) {
    return base::MakeError(batch::kBadJob, base::MessageOf(root.status()));
  }
  const auto* jobs = base::ArrayField(*root, "jobs");
  if (jobs == nullptr || jobs->size() > kMostCancels) {
    return base::MakeError(
      batch::kBadJob,
      base::Cat("jobs: write a list of at most ", kMostCancels, " ids"));
  }
  std::vector<std::string> out;
  for (const auto& it : *jobs) {
    const auto* text = it.if_string();
    if (text == nullptr ||
        !batch::IsJobId(std::string_view(text->data(), text->size()))) {
      return base::MakeError(
        batch::kBadJob, base::Cat("jobs: ", base::ToText(it), " is no job id"));
    }
    out.emplace_back(text->data(), text->size());
  }
  return out;
}

auto CancelMany(OperatorParts aParts, std::string aText)
  -> net::Task<net::HttpResponse>
{
  auto ids = ParseIds(aText);
  if (!ids.ok()) {
    co_return ErrorReply(ids.status());
  }
  co_return co_await CancelJobs(aParts, *std::move(ids));
}

} // namespace

auto AnswerJobs(OperatorParts aParts, net::HttpRequest aRequest)
  -> net::Task<std::optional<net::HttpResponse>>
{
  const auto& target = aRequest.mTarget;
  const auto isGet = aRequest.mMethod == "GET";
  const auto isPost = aRequest.mMethod == "POST";
  if (isPost && target == kJobs) {
    co_return co_await SubmitJob(aParts, std::move(aRequest.mBody));
  }
  if (isGet && target == kJobs) {
    co_return co_await ListJobs(aParts, {});
  }
  if (isGet && target.starts_with(kAfter)) {
    co_return co_await ListJobs(aParts, target.substr(kAfter.size()));
  }
  if (isPost && target == kCancelMany) {
    co_return co_await CancelMany(aParts, std::move(aRequest.mBody));
  }
  if (!target.starts_with(kJobPath)) {
    co_return std::nullopt;
  }
  auto id = target.substr(kJobPath.size());
  if (isPost && id.ends_with(kCancelSuffix)) {
    std::vector<std::string> ids;
    ids.push_back(id.substr(0, id.size() - kCancelSuffix.size()));
    co_return co_await CancelJobs(aParts, std::move(ids));
  }
  if (isGet) {
    co_return co_await ShowJob(aParts, std::move(id));
  }
  co_return std::nullopt;
}

} // namespace eelgrasspost::app

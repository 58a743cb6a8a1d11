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

constexpr std::string_view kJobsPath = "/jobs";
constexpr std::string_view kJobPathPrefix = "/jobs/";
constexpr std::string_view kListAfterPrefix = "/jobs?after=";
constexpr std::string_view kCancelPath = "/jobs/cancel";
constexpr std::string_view kCancelSuffix = "/cancel";
/** Maximum number of jobs that one request cancels. */
constexpr std::size_t kMaxCancelledJobs = 10'000;

auto SubmitJob(OperatorContext aContext, std::string aText)
  -> net::Task<net::HttpResponse>
{
  const auto job = batch::ParseJob(aText);
  if (!job.ok()) {
    co_return ErrorResponse(job.status());
  }
  const auto status = co_await aContext.mJobs.Submit(*job, CallDeadline());
  if (!status.ok()) {
    co_return ErrorResponse(status);
  }
  json::object body;
  body["job"] = job->mId;
  co_return JsonTextResponse(200, base::ToText(body));
}

auto ShowJob(OperatorContext aContext, std::string aJob)
  -> net::Task<net::HttpResponse>
{
  const auto status =
    co_await aContext.mJobs.Status(std::move(aJob), CallDeadline());
  if (!status.ok()) {
    co_return ErrorResponse(status.status());
  }
  co_return JsonTextResponse(200, batch::EncodeStatus(*status));
}

auto ListJobs(OperatorContext aContext, std::string aAfter)
  -> net::Task<net::HttpResponse>
{
  const auto jobs =
    co_await aContext.mJobs.List(std::move(aAfter), CallDeadline());
  if (!jobs.ok()) {
    co_return ErrorResponse(jobs.status());
  }
  co_return JsonTextResponse(200, batch::EncodeJobList(*jobs));
}

auto CancelJobs(OperatorContext aContext, std::vector<std::string> aJobs)
  -> net::Task<net::HttpResponse>
{
  const auto count = aJobs.size();
  const auto status =
    co_await aContext.mJobs.Cancel(std::move(aJobs), CallDeadline());
  if (!status.ok()) {
    co_return ErrorResponse(status);
  }
  json::object body;
  body["cancelling"] = count;
  co_return JsonTextResponse(200, base::ToText(body));
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
  if (jobs == nullptr || jobs->size() > kMaxCancelledJobs) {
    return base::MakeError(
      batch::kBadJob,
      base::Cat("jobs: write a list of at most ", kMaxCancelledJobs, " ids"));
  }
  std::vector<std::string> out;
  for (const auto& it : *jobs) {
    const auto* text = it.if_string();
    if (text == nullptr ||
        !batch::IsJobId(std::string_view(text->data(), text->size()))) {
      return base::MakeError(
        batch::kBadJob,
        base::Cat("jobs: ", base::ToText(it), " is not a job id"));
    }
    out.emplace_back(text->data(), text->size());
  }
  return out;
}

auto CancelListedJobs(OperatorContext aContext, std::string aText)
  -> net::Task<net::HttpResponse>
{
  auto ids = ParseIds(aText);
  if (!ids.ok()) {
    co_return ErrorResponse(ids.status());
  }
  co_return co_await CancelJobs(aContext, *std::move(ids));
}

} // namespace

auto HandleJobsRequest(OperatorContext aContext, net::HttpRequest aRequest)
  -> net::Task<std::optional<net::HttpResponse>>
{
  const auto& target = aRequest.mTarget;
  const auto isGet = aRequest.mMethod == "GET";
  const auto isPost = aRequest.mMethod == "POST";
  if (isPost && target == kJobsPath) {
    co_return co_await SubmitJob(aContext, std::move(aRequest.mBody));
  }
  if (isGet && target == kJobsPath) {
    co_return co_await ListJobs(aContext, {});
  }
  if (isGet && target.starts_with(kListAfterPrefix)) {
    co_return co_await ListJobs(aContext,
                                target.substr(kListAfterPrefix.size()));
  }
  if (isPost && target == kCancelPath) {
    co_return co_await CancelListedJobs(aContext, std::move(aRequest.mBody));
  }
  if (!target.starts_with(kJobPathPrefix)) {
    co_return std::nullopt;
  }
  auto id = target.substr(kJobPathPrefix.size());
  if (isPost && id.ends_with(kCancelSuffix)) {
    std::vector<std::string> ids;
    ids.push_back(id.substr(0, id.size() - kCancelSuffix.size()));
    co_return co_await CancelJobs(aContext, std::move(ids));
  }
  if (isGet) {
    co_return co_await ShowJob(aContext, std::move(id));
  }
  co_return std::nullopt;
}

} // namespace eelgrasspost::app

#include "callerhandler.h"

#include <algorithm>

#include "callerresponses.h"
#include "cellchoice.h"
#include "claiming.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/dispatch/dispatchlogevents.h"
#include "eelgrasspost/net/codec.h"
#include "eelgrasspost/net/iopool.h"
#include "holdertimes.h"
#include "storeaccess.h"

namespace eelgrasspost::dispatch {

namespace {

/** Maximum number of cached job locations; each takes about 100 bytes. */
constexpr std::size_t kMaxLocations = 20000;
auto MakeStateResponse(cell::JobState aState) -> CallerResponse
{
  CallerResponse out;
  out.mOutcome = CallerOutcome::State;
  out.mState = aState;
  return out;
}

} // namespace

CallerHandler::CallerHandler(CallerHandlerContext aContext)
  : mContext(std::move(aContext))
  , mAccepted(
      mContext.mMetrics.FindCounter("submissions_total{outcome=\"accepted\"}"))
  , mRefused(
      mContext.mMetrics.FindCounter("submissions_total{outcome=\"refused\"}"))
  , mRequestTime(mContext.mMetrics.FindHistogram("request_time_us"))
  , mDeferredCancellations(
      mContext.mMetrics.FindCounter("cancellations_deferred_total"))
  , mUncertain(
      mContext.mMetrics.FindCounter("submissions_total{outcome=\"uncertain\"}"))
  , mSettled(mContext.mMetrics.FindCounter("submissions_settled_total"))
  , mOverloaded(mContext.mMetrics.FindCounter(
      "submissions_total{outcome=\"overloaded\"}"))
  , mExpectedWait(mContext.mMetrics.FindHistogram("expected_wait_us"))
  , mDeclinedOffers(mContext.mMetrics.FindCounter("offers_declined_total"))
{
}

auto CallerHandler::CacheLocation(const std::string& aId,
                                  const std::string& aCell) -> void
{
  if (mCellByJob.size() > kMaxLocations) {
    mCellByJob.clear();
  }
  mCellByJob[aId] = aCell;
}

auto CallerHandler::PartitionOf(const std::string& aId) const -> std::string
{
  return PartitionName(
    static_cast<std::uint32_t>(HashOf(aId) % mContext.mPartitions()));
}

auto CallerHandler::WasPrevented(const Location& aLocation) -> bool
{
  return cell::IsFinal(aLocation.mState) && aLocation.mCell.empty();
}

auto CallerHandler::ReadIdRow(std::string aId, MonotonicTime aDeadline)
  -> net::Task<Location>
{
  RangeQuery query;
  query.mTable = std::string(kIdTable);
  query.mPartition = PartitionOf(aId);
  query.mFrom = aId;
  query.mLimit = 1;
  const auto storeDeadline = base::MonotonicClock::now() + kStoreTimeout;
  const auto reply = co_await mContext.mStore.ReadRange(
    query, std::min(storeDeadline, aDeadline));
  Location out;
  if (reply.mOutcome != StoreOutcome::Done) {
    co_return out;
  }
  out.mIsCertain = true;
  if (reply.mRows.empty() || reply.mRows[0].mKey != aId) {
    co_return out;
  }
  const auto row = net::Decode<JobIdRow>(reply.mRows[0].mValue);
  out.mIdVersion = reply.mRows[0].mVersion;
  out.mExists = !row.ok() || !IsWithheld(*row);
  if (row.ok()) {
    out.mCell = row->mCell;
    out.mState = row->mState;
  }
  co_return out;
}

auto CallerHandler::Locate(std::string aId, MonotonicTime aDeadline)
  -> net::Task<Location>
{
  if (const auto it = mCellByJob.find(aId); it != mCellByJob.end()) {
    co_return Location{ true, true, it->second };
  }
  auto out = co_await ReadIdRow(aId, aDeadline);
  if (out.mExists && !cell::IsFinal(out.mState)) {
    CacheLocation(aId, out.mCell);
  }
  co_return out;
}

auto CallerHandler::GetState(std::string aId, MonotonicTime aDeadline)
  -> net::Task<CallerResponse>
{
  auto location = co_await Locate(aId, aDeadline);
  if (location.mExists && !cell::IsFinal(location.mState)) {
    JobCommand command;
    command.mKind = JobCommandKind::GetState;
    command.mCell = location.mCell;
    command.mJobId = aId;
    command.mTimeoutMs = RemainingTimeoutMs(aDeadline) / 2;
    const auto reply = co_await mContext.mExecute(std::move(command));
    if (reply.mOutcome == JobOutcome::Done) {
      co_return MakeStateResponse(reply.mState);
    }
    // The holder does not have the job or does not reply, so the store is read.
    location = co_await ReadIdRow(aId, aDeadline);
    if (location.mExists) {
      CacheLocation(aId, location.mCell);
    }
    if (!location.mIsCertain) {
      co_return MakeStateResponse(cell::JobState::Running);
    }
  }
  if (!location.mIsCertain) {
    co_return MakeNotRunResponse("the store does not respond; retry");
  }
  if (!location.mExists || WasPrevented(location)) {
    mCellByJob.erase(aId);
    CallerResponse out;
    out.mOutcome = CallerOutcome::UnknownJob;
    co_return out;
  }
  co_return MakeStateResponse(
    cell::IsFinal(location.mState) ? location.mState : cell::JobState::Running);
}

auto CallerHandler::BuildResponse(const net::HttpRequest& aRequest)
  -> net::Task<CallerResponse>
{
  const auto configuration = mContext.mConfiguration();
  if (!configuration) {
    co_return MakeNotRunResponse("no configuration has been read yet");
  }
  const auto request =
    mContext.mFormats.DecodeRequest(aRequest, *configuration);
  CallerResponse out;
  if (!request) {
    out.mOutcome = CallerOutcome::UnknownQueue;
    out.mError = "no queue has this host and path";
    co_return out;
  }
  const auto isAboutJob = request->mKind != CallerRequestKind::CountPending;
  if (isAboutJob && mContext.mPartitions() == 0) {
    co_return MakeNotRunResponse("the store has not been reached yet; retry");
  }
  const auto startedAt = base::MonotonicClock::now();
  const auto deadline = startedAt + request->mTimeout;
  switch (request->mKind) {
    case CallerRequestKind::Submit:
      out = co_await Submit(*request, aRequest.mBody, deadline);
      break;
    case CallerRequestKind::GetState:
      out = co_await GetState(request->mJobId, deadline);
      break;
    case CallerRequestKind::Cancel:
      out = co_await Cancel(request->mJobId, deadline);
      break;
    case CallerRequestKind::CountPending:
      out.mOutcome = CallerOutcome::Pending;
      out.mPending = mContext.mPending(request->mQueue->mName);
      co_return out;
  }
  LogResponse(*request, *configuration, out, startedAt);
  co_return out;
}

auto CallerHandler::LogResponse(const CallerRequest& aRequest,
                                const Configuration& aConfiguration,
                                const CallerResponse& aResponse,
                                MonotonicTime aStartedAt) -> void
{
  const auto took = std::chrono::duration_cast<Milliseconds>(
    base::MonotonicClock::now() - aStartedAt);
  mRequestTime.Record(static_cast<double>(
    std::chrono::duration_cast<base::Microseconds>(took).count()));
  if (aResponse.mOutcome == CallerOutcome::State) {
    // State queries change nothing and are frequent.
    return;
  }
  const auto cell = mCellByJob.find(aRequest.mJobId);
  mContext.mLog.Record(
    kJobRequestAnswered,
    { { "job", aRequest.mJobId },
      { "request", base::NameOf(kCallerRequestNames, aRequest.mKind) },
      { "outcome", base::NameOf(kCallerOutcomeNames, aResponse.mOutcome) },
      { "queue", aRequest.mQueue->mName },
      { "cell",
        cell == mCellByJob.end() ? std::string_view()
                                 : std::string_view(cell->second) },
      { "configuration", static_cast<std::int64_t>(aConfiguration.mVersion) },
      { "patience_ms", aRequest.mTimeout.count() },
      { "took_ms", took.count() },
      { "retry_after_ms", aResponse.mRetryAfter.count() },
      { "reason", aResponse.mError } });
}

auto CallerHandler::HandleRequest(net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>
{
  const auto response = co_await BuildResponse(aRequest);
  co_return mContext.mFormats.EncodeResponse(response);
}

} // namespace eelgrasspost::dispatch

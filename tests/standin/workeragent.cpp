#include <iostream>
#include <memory>
#include <vector>

#include "eelgrasspost/platform/iworker.h"
#include "workerstate.h"

namespace eelgrasspost::standin {

namespace {

auto Field(const net::HttpRequest& aRequest, std::string_view aName)
  -> std::string
{
  return std::string(net::FindField(aRequest.mFields, aName));
}

/** Reads "work_ms" of a target's query. */
auto WorkMs(const std::string& aTarget) -> std::int64_t
{
  constexpr std::string_view kName = "work_ms=";
  const auto at = aTarget.find(kName);
  if (at == std::string::npos) {
    return 0;
  }
  const auto text = aTarget.substr(at + kName.size());
  return base::ParseNumber(text.substr(0, text.find('&'))).value_or(0);
}

auto Refuse(std::string_view aReason) -> net::HttpResponse
{
  return { 409,
           { { std::string(platform::kRefusedField), std::string(aReason) } },
           "" };
}

/** Plays an endpoint: works for a while and answers the request's id. */
auto RunRequest(WorkerState& aState, net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>
{
  if (aState.mLeaving) {
    co_return Refuse(platform::kRefusedLeaving);
  }
  if (!TakeToken(aState, Field(aRequest, platform::kFencingTokenField))) {
    co_return Refuse(platform::kRefusedFenced);
  }
  const auto attempt = Field(aRequest, platform::kAttemptIdField);
  const auto request = Field(aRequest, platform::kRequestIdField);
  auto& observed = aState.mObserved;
  aState.mRequests.insert(attempt);
  const auto running = static_cast<std::int64_t>(aState.mRequests.size());
  observed.mMostRequests = std::max(observed.mMostRequests, running);
  ++observed.mRequestsRun;
  ++observed.mRunsByRequest[request];
  const auto ms = WorkMs(aRequest.mTarget) + aState.mExtraRequestMs;
  if (ms > 0) {
    co_await net::Sleep(base::Milliseconds(ms));
  }
  aState.mRequests.erase(attempt);
  if (aState.mFailsAll) {
    co_return ReplyError(500, "the endpoint fails all");
  }
  json::object out;
  out["worker"] = aState.mId;
  out["request"] = request;
  out["echo"] = aRequest.mBody;
  co_return Reply(200, out);
}

auto SetFaults(WorkerState& aState, const json::object& aBody)
  -> net::HttpResponse
{
  aState.mLeaving = base::BoolField(aBody, "leaving", aState.mLeaving);
  aState.mIgnoresTokens =
    base::BoolField(aBody, "ignores_tokens", aState.mIgnoresTokens);
  if (base::BoolField(aBody, "restart")) {
    aState.mIncarnation += "+";
    aState.mHighestToken = {};
    aState.mRequests.clear();
    aState.mAttempts.clear();
  }
  aState.mFailsAll = base::BoolField(aBody, "fails_all", aState.mFailsAll);
  aState.mExtraRequestMs =
    base::NumberField(aBody, "extra_request_ms", aState.mExtraRequestMs);
  if (base::BoolField(aBody, "restart")) {
    Restart(aState);
  }
  return Reply(200, {});
}

auto HandleAgent(WorkerState& aState, const net::HttpRequest& aRequest)
  -> net::HttpResponse
{
  const auto body = aRequest.mBody.empty() ? json::object()
                                           : *base::ParseObject(aRequest.mBody);
  if (aRequest.mTarget == "/agent/report") {
    return Reply(200, ToReport(aState));
  }
  const auto token = base::TextField(body, "token");
  const auto replaced = platform::ToString(aState.mHighestToken);
  const auto isTaken = aRequest.mTarget == "/agent/claim"
                         ? TakeClaim(aState, token)
                         : TakeToken(aState, token);
  if (!isTaken) {
    return Reply(409, ToReport(aState));
  }
  CarryOut(aState, aRequest.mTarget, body);
  auto report = ToReport(aState);
  report["replaced_token"] = replaced;
  return Reply(200, report);
}

auto Handle(WorkerState& aState, net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>
{
  if (aRequest.mTarget == "/observed") {
    co_return Reply(200, ToObservation(aState));
  }
  if (aRequest.mTarget == "/faults") {
    co_return SetFaults(aState, *base::ParseObject(aRequest.mBody));
  }
  if (aRequest.mTarget.starts_with("/agent/")) {
    co_return HandleAgent(aState, aRequest);
  }
  co_return co_await RunRequest(aState, std::move(aRequest));
}

auto AdvanceAll(std::vector<std::unique_ptr<WorkerState>>& aStates)
  -> net::Task<void>
{
  constexpr auto kTick = base::Milliseconds(10);
  while (true) {
    for (auto& it : aStates) {
      Advance(*it, base::MonotonicClock::now());
    }
    co_await net::Sleep(kTick);
  }
}

} // namespace

auto RunWorkers(net::IoPool& aPool, const StandinOptions& aOptions) -> void
{
  static std::vector<std::unique_ptr<WorkerState>> states;
  static std::vector<std::unique_ptr<net::HttpServer>> servers;
  for (int i = 0; i < aOptions.mCount; ++i) {
    auto state = std::make_unique<WorkerState>();
    state->mId = base::Cat(aOptions.mPrefix, i + 1);
    state->mIncarnation = base::Cat(base::WallClockMs());
    auto* worker = state.get();
    auto server = std::make_unique<net::HttpServer>(
      aPool, net::HttpServerOptions{}, [worker](net::HttpRequest aRequest) {
        return Handle(*worker, std::move(aRequest));
      });
    const auto address = server->Listen(aOptions.mListen).value();
    std::cout << "listening " << state->mId << "=" << net::ToString(address)
              << std::endl;
    states.push_back(std::move(state));
    servers.push_back(std::move(server));
  }
  std::cout << "ready" << std::endl;
  net::SpawnTask(aPool.Executor(0), AdvanceAll(states));
}

} // namespace eelgrasspost::standin

#include <iostream>
#include <memory>
#include <vector>

#include "eelgrasspost/platform/iworker.h"
#include "workerstate.h"

namespace eelgrasspost::standin {

namespace {

auto FieldOf(const net::HttpRequest& aRequest, std::string_view aName)
  -> std::string
{
  return std::string(net::FindField(aRequest.mFields, aName));
}

/** Reads "work_ms" from a target's query string. */
auto ParseWorkMs(const std::string& aTarget) -> std::int64_t
{
  constexpr std::string_view kName = "work_ms=";
  const auto at = aTarget.find(kName);
  if (at == std::string::npos) {
    return 0;
  }
  const auto text = aTarget.substr(at + kName.size());
  return base::ParseNumber(text.substr(0, text.find('&'))).value_or(0);
}

auto MakeRefusal(std::string_view aReason) -> net::HttpResponse
{
  return { 409,
           { { std::string(platform::kRefusedField), std::string(aReason) } },
           "" };
}

/** Simulates an endpoint: waits for the work time, then responds with the
 * request's id and body. */
auto RunRequest(WorkerState& aState, net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>
{
  if (aState.mLeaving) {
    co_return MakeRefusal(platform::kRefusedLeaving);
  }
  if (!IsCurrentToken(aState,
                      FieldOf(aRequest, platform::kFencingTokenField))) {
    co_return MakeRefusal(platform::kRefusedFenced);
  }
  const auto attempt = FieldOf(aRequest, platform::kAttemptIdField);
  const auto request = FieldOf(aRequest, platform::kRequestIdField);
  auto& observed = aState.mObserved;
  aState.mRequests.insert(attempt);
  const auto running = static_cast<std::int64_t>(aState.mRequests.size());
  observed.mMaxRequests = std::max(observed.mMaxRequests, running);
  ++observed.mRequestCount;
  ++observed.mRunCountByRequest[request];
  const auto ms = ParseWorkMs(aRequest.mTarget) + aState.mExtraRequestMs;
  if (ms > 0) {
    co_await net::Sleep(base::Milliseconds(ms));
  }
  aState.mRequests.erase(attempt);
  if (aState.mFailsAll) {
    co_return MakeErrorResponse(500, "the endpoint fails all requests");
  }
  json::object out;
  out["worker"] = aState.mId;
  out["request"] = request;
  out["echo"] = aRequest.mBody;
  co_return MakeResponse(200, out);
}

auto SetFaults(WorkerState& aState, const json::object& aBody)
  -> net::HttpResponse
{
  aState.mLeaving = base::BoolField(aBody, "leaving", aState.mLeaving);
  aState.mIgnoresTokens =
    base::BoolField(aBody, "ignores_tokens", aState.mIgnoresTokens);
  aState.mFailsAll = base::BoolField(aBody, "fails_all", aState.mFailsAll);
  aState.mExtraRequestMs =
    base::NumberField(aBody, "extra_request_ms", aState.mExtraRequestMs);
  if (base::BoolField(aBody, "restart")) {
    Restart(aState);
  }
  return MakeResponse(200, {});
}

auto HandleAgentRequest(WorkerState& aState, const net::HttpRequest& aRequest)
  -> net::HttpResponse
{
  const auto body = aRequest.mBody.empty() ? json::object()
                                           : *base::ParseObject(aRequest.mBody);
  if (aRequest.mTarget == "/agent/report") {
    return MakeResponse(200, ToReport(aState));
  }
  const auto token = base::TextField(body, "token");
  const auto replaced = platform::ToString(aState.mHighestToken);
  const auto isAccepted = aRequest.mTarget == "/agent/claim"
                            ? AcceptClaim(aState, token)
                            : IsCurrentToken(aState, token);
  if (!isAccepted) {
    return MakeResponse(409, ToReport(aState));
  }
  ExecuteCommand(aState, aRequest.mTarget, body);
  auto report = ToReport(aState);
  report["replaced_token"] = replaced;
  return MakeResponse(200, report);
}

auto HandleRequest(WorkerState& aState, net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>
{
  if (aRequest.mTarget == "/observed") {
    co_return MakeResponse(200, ToObservation(aState));
  }
  if (aRequest.mTarget == "/faults") {
    co_return SetFaults(aState, *base::ParseObject(aRequest.mBody));
  }
  if (aRequest.mTarget.starts_with("/agent/")) {
    co_return HandleAgentRequest(aState, aRequest);
  }
  co_return co_await RunRequest(aState, std::move(aRequest));
}

auto AdvanceWorkers(std::vector<std::unique_ptr<WorkerState>>& aStates)
  -> net::Task<void>
{
  constexpr auto kTick = base::Milliseconds(10);
  while (true) {
    for (auto& it : aStates) {
      AdvanceAttempts(*it, base::MonotonicClock::now());
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
        return HandleRequest(*worker, std::move(aRequest));
      });
    const auto address = server->Listen(aOptions.mListen).value();
    std::cout << "listening " << state->mId << "=" << net::ToString(address)
              << std::endl;
    states.push_back(std::move(state));
    servers.push_back(std::move(server));
  }
  std::cout << "ready" << std::endl;
  net::SpawnTask(aPool.Executor(0), AdvanceWorkers(states));
}

} // namespace eelgrasspost::standin

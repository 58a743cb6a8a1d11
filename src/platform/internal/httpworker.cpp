#include "eelgrasspost/base/text.h"
#include "eelgrasspost/platform/platformerrors.h"
#include "httpports.h"
#include "platformcall.h"

namespace eelgrasspost::platform {

namespace {

namespace json = base::json;

constexpr unsigned kFencedStatus = 409;

auto MakeTokenBody(const FencingToken& aToken) -> json::object
{
  json::object out;
  out["token"] = ToString(aToken);
  return out;
}

auto ToJson(const std::vector<AttemptRef>& aAttempts) -> json::array
{
  json::array out;
  for (const auto& it : aAttempts) {
    json::object attempt;
    attempt["task"] = it.mTask;
    attempt["attempt"] = it.mAttempt;
    out.push_back(std::move(attempt));
  }
  return out;
}

auto ToJson(const StartCommand& aCommand) -> json::object
{
  json::object out;
  out["task"] = aCommand.mTask;
  out["attempt"] = aCommand.mAttempt;
  out["cpu_millis"] = aCommand.mResources.mCpuMillis;
  out["memory_mb"] = aCommand.mResources.mMemoryMb;
  out["accelerators"] = aCommand.mResources.mAccelerators;
  out["lease_ms"] = aCommand.mLeaseMs;
  out["checkpoint"] = aCommand.mCheckpoint;
  out["command"] = aCommand.mCommand;
  return out;
}

auto ToAttempt(const json::object& aObject) -> AttemptReport
{
  AttemptReport out;
  out.mTask = base::TextField(aObject, "task");
  out.mAttempt =
    static_cast<std::uint64_t>(base::NumberField(aObject, "attempt"));
  out.mState =
    base::ValueOf(kAttemptStateNames, base::TextField(aObject, "state"))
      .value_or(AttemptState::Running);
  out.mResources.mCpuMillis = base::NumberField(aObject, "cpu_millis");
  out.mResources.mMemoryMb = base::NumberField(aObject, "memory_mb");
  out.mResources.mAccelerators = base::NumberField(aObject, "accelerators");
  out.mUsedMs = base::NumberField(aObject, "used_ms");
  out.mCheckpoint = base::TextField(aObject, "checkpoint");
  out.mDetail = base::TextField(aObject, "detail");
  return out;
}

auto ToReport(const json::object& aObject) -> absl::StatusOr<WorkerReport>
{
  const auto token =
    ParseFencingToken(base::TextField(aObject, "highest_token"));
  const auto* requests = base::ArrayField(aObject, "requests");
  const auto* attempts = base::ArrayField(aObject, "attempts");
  if (!token || requests == nullptr || attempts == nullptr) {
    return base::MakeError(kMalformedResponse,
                           "a worker report lacks required fields");
  }
  WorkerReport out;
  out.mIncarnation = base::TextField(aObject, "incarnation");
  out.mHighestToken = *token;
  out.mReplacedToken =
    ParseFencingToken(base::TextField(aObject, "replaced_token"))
      .value_or(FencingToken());
  out.mLeaving = base::BoolField(aObject, "leaving");
  out.mCpuMillisUsed = base::NumberField(aObject, "cpu_millis_used");
  for (const auto& it : *requests) {
    if (const auto* text = it.if_string()) {
      out.mRequests.emplace_back(text->data(), text->size());
    }
  }
  for (const auto& it : *attempts) {
    if (const auto* attempt = it.if_object()) {
      out.mAttempts.push_back(ToAttempt(*attempt));
    }
  }
  return out;
}

auto MakeFencedError(const net::Address& aWorker, const json::object& aBody)
  -> absl::Status
{
  return base::MakeError(kFenced,
                         base::Cat("worker ",
                                   net::ToString(aWorker),
                                   " has seen token ",
                                   base::TextField(aBody, "highest_token")));
}

} // namespace

HttpWorker::HttpWorker(net::HttpClient& aClient)
  : mClient(aClient)
{
}

auto HttpWorker::SendCommand(net::Address aWorker,
                             std::string aTarget,
                             json::object aBody,
                             base::MonotonicTime aDeadline)
  -> net::Task<absl::Status>
{
  const auto response = co_await PostJson(
    mClient, aWorker, std::move(aTarget), std::move(aBody), aDeadline);
  if (!response.ok()) {
    co_return response.status();
  }
  if (response->mStatus == kFencedStatus) {
    co_return MakeFencedError(aWorker, response->mBody);
  }
  constexpr unsigned kOk = 200;
  if (response->mStatus != kOk) {
    co_return base::MakeError(kMalformedResponse,
                              base::TextField(response->mBody, "error"));
  }
  co_return absl::OkStatus();
}

auto HttpWorker::SendForReport(net::Address aWorker,
                               std::string aTarget,
                               json::object aBody,
                               base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<WorkerReport>>
{
  const auto response = co_await PostJson(
    mClient, aWorker, std::move(aTarget), std::move(aBody), aDeadline);
  if (!response.ok()) {
    co_return response.status();
  }
  if (response->mStatus == kFencedStatus) {
    co_return MakeFencedError(aWorker, response->mBody);
  }
  co_return ToReport(response->mBody);
}

auto HttpWorker::Claim(net::Address aWorker,
                       FencingToken aToken,
                       base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<WorkerReport>>
{
  return SendForReport(
    std::move(aWorker), "/agent/claim", MakeTokenBody(aToken), aDeadline);
}

auto HttpWorker::Report(net::Address aWorker, base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<WorkerReport>>
{
  return SendForReport(std::move(aWorker), "/agent/report", {}, aDeadline);
}

auto HttpWorker::Start(net::Address aWorker,
                       FencingToken aToken,
                       std::vector<StartCommand> aCommands,
                       base::MonotonicTime aDeadline) -> net::Task<absl::Status>
{
  auto body = MakeTokenBody(aToken);
  json::array commands;
  for (const auto& it : aCommands) {
    commands.push_back(ToJson(it));
  }
  body["commands"] = std::move(commands);
  return SendCommand(
    std::move(aWorker), "/agent/start", std::move(body), aDeadline);
}

auto HttpWorker::Renew(net::Address aWorker,
                       FencingToken aToken,
                       std::vector<AttemptRef> aAttempts,
                       base::Milliseconds aLease,
                       base::MonotonicTime aDeadline) -> net::Task<absl::Status>
{
  auto body = MakeTokenBody(aToken);
  body["attempts"] = ToJson(aAttempts);
  body["lease_ms"] = aLease.count();
  return SendCommand(
    std::move(aWorker), "/agent/renew", std::move(body), aDeadline);
}

auto HttpWorker::Stop(net::Address aWorker,
                      FencingToken aToken,
                      std::vector<AttemptRef> aAttempts,
                      bool aCheckpoint,
                      base::MonotonicTime aDeadline) -> net::Task<absl::Status>
{
  auto body = MakeTokenBody(aToken);
  body["attempts"] = ToJson(aAttempts);
  body["checkpoint"] = aCheckpoint;
  return SendCommand(
    std::move(aWorker), "/agent/stop", std::move(body), aDeadline);
}

auto HttpWorker::Throttle(net::Address aWorker,
                          FencingToken aToken,
                          std::vector<AttemptRef> aAttempts,
                          int aPercent,
                          base::MonotonicTime aDeadline)
  -> net::Task<absl::Status>
{
  auto body = MakeTokenBody(aToken);
  body["attempts"] = ToJson(aAttempts);
  body["percent"] = aPercent;
  return SendCommand(
    std::move(aWorker), "/agent/throttle", std::move(body), aDeadline);
}

auto HttpWorker::Forget(net::Address aWorker,
                        FencingToken aToken,
                        std::vector<AttemptRef> aAttempts,
                        base::MonotonicTime aDeadline)
  -> net::Task<absl::Status>
{
  auto body = MakeTokenBody(aToken);
  body["attempts"] = ToJson(aAttempts);
  return SendCommand(
    std::move(aWorker), "/agent/forget", std::move(body), aDeadline);
}

} // namespace eelgrasspost::platform

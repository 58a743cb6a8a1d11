#include "workerstate.h"

namespace eelgrasspost::standin {

namespace {

using platform::AttemptState;

auto AttemptKey(const json::object& aBody) -> std::string
{
  return base::Cat(
    base::TextField(aBody, "task"), "#", base::NumberField(aBody, "attempt"));
}

/** Reads NAME=NUMBER from a command; 0 if it is missing. */
auto ParseCommandNumber(const std::string& aCommand, const std::string& aName)
  -> std::int64_t
{
  for (const auto& it : base::Split(aCommand, ' ')) {
    if (it.starts_with(aName + "=")) {
      return base::ParseNumber(it.substr(aName.size() + 1)).value_or(0);
    }
  }
  return 0;
}

auto MonotonicMs(base::MonotonicTime aTime) -> std::int64_t
{
  return std::chrono::duration_cast<base::Milliseconds>(
           aTime.time_since_epoch())
    .count();
}

auto SaveCheckpoint(WorkerAttempt& aAttempt) -> void
{
  aAttempt.mReport.mCheckpoint =
    base::Cat("ms=", aAttempt.mResumedMs + aAttempt.mReport.mUsedMs);
}

auto Start(WorkerState& aState, const json::object& aCommand) -> void
{
  const auto name = AttemptKey(aCommand);
  if (aState.mAttempts.contains(name)) {
    return;
  }
  const auto now = base::MonotonicClock::now();
  const auto command = base::TextField(aCommand, "command");
  const auto lease =
    base::Milliseconds(base::NumberField(aCommand, "lease_ms"));
  WorkerAttempt attempt;
  attempt.mReport.mTask = base::TextField(aCommand, "task");
  attempt.mReport.mAttempt =
    static_cast<std::uint64_t>(base::NumberField(aCommand, "attempt"));
  attempt.mReport.mResources.mCpuMillis =
    base::NumberField(aCommand, "cpu_millis");
  attempt.mReport.mResources.mMemoryMb =
    base::NumberField(aCommand, "memory_mb");
  attempt.mReport.mResources.mAccelerators =
    base::NumberField(aCommand, "accelerators");
  attempt.mReport.mCheckpoint = base::TextField(aCommand, "checkpoint");
  attempt.mResumedMs = ParseCommandNumber(attempt.mReport.mCheckpoint, "ms");
  attempt.mRunMs = ParseCommandNumber(command, "run_ms");
  attempt.mIsFailing =
    aState.mFailsAll || ParseCommandNumber(command, "fail") != 0;
  attempt.mLeaseExpiresAt = now + lease;
  attempt.mLastAdvancedAt = now;
  auto& attempts = aState.mObserved.mAttempts;
  attempt.mObservedIndex = attempts.size();
  attempts.push_back({ attempt.mReport.mTask,
                       attempt.mReport.mAttempt,
                       MonotonicMs(now),
                       -1,
                       attempt.mReport.mCheckpoint });
  aState.mAttempts.emplace(name, std::move(attempt));
  json::object start;
  start["task"] = base::TextField(aCommand, "task");
  start["attempt"] = base::NumberField(aCommand, "attempt");
  start["at_ms"] = base::WallClockMs();
  aState.mObserved.mStarts.push_back(std::move(start));
}

auto ApplyToAttempt(WorkerAttempt& aAttempt,
                    const std::string& aTarget,
                    const json::object& aBody) -> void
{
  const auto isRunning = aAttempt.mReport.mState == AttemptState::Running;
  if (!isRunning) {
    return;
  }
  if (aTarget == "/agent/renew") {
    aAttempt.mLeaseExpiresAt =
      base::MonotonicClock::now() +
      base::Milliseconds(base::NumberField(aBody, "lease_ms"));
  } else if (aTarget == "/agent/throttle") {
    aAttempt.mCpuPercent = base::NumberField(aBody, "percent", 100);
  } else if (aTarget == "/agent/stop") {
    if (base::BoolField(aBody, "checkpoint")) {
      SaveCheckpoint(aAttempt);
    }
    aAttempt.mReport.mState = AttemptState::Stopped;
  }
}

auto RecordEnd(WorkerState& aState,
               const WorkerAttempt& aAttempt,
               base::MonotonicTime aNow) -> void
{
  auto& until = aState.mObserved.mAttempts[aAttempt.mObservedIndex].mEndMs;
  if (until < 0) {
    until = MonotonicMs(aNow);
  }
}

auto ToJson(const ObservedAttempt& aAttempt) -> json::object
{
  json::object out;
  out["task"] = aAttempt.mTask;
  out["attempt"] = aAttempt.mAttempt;
  out["from_ms"] = aAttempt.mStartMs;
  out["until_ms"] = aAttempt.mEndMs;
  out["resumed_from"] = aAttempt.mResumedFrom;
  return out;
}

auto AdvanceAttempt(WorkerAttempt& aAttempt, base::MonotonicTime aNow) -> void
{
  auto& report = aAttempt.mReport;
  if (report.mState != AttemptState::Running) {
    return;
  }
  const auto elapsed = std::chrono::duration_cast<base::Milliseconds>(
    aNow - aAttempt.mLastAdvancedAt);
  aAttempt.mLastAdvancedAt = aNow;
  report.mUsedMs += elapsed.count() * aAttempt.mCpuPercent / 100;
  if (aNow >= aAttempt.mLeaseExpiresAt) {
    report.mState = AttemptState::LeaseLapsed;
  } else if (aAttempt.mIsFailing) {
    report.mState = AttemptState::Failed;
    report.mDetail = "the command failed";
  } else if (aAttempt.mResumedMs + report.mUsedMs >= aAttempt.mRunMs) {
    report.mState = AttemptState::Succeeded;
  }
}

auto ToJson(const platform::AttemptReport& aReport) -> json::object
{
  json::object out;
  out["task"] = aReport.mTask;
  out["attempt"] = aReport.mAttempt;
  out["state"] =
    std::string(base::NameOf(platform::kAttemptStateNames, aReport.mState));
  out["cpu_millis"] = aReport.mResources.mCpuMillis;
  out["memory_mb"] = aReport.mResources.mMemoryMb;
  out["accelerators"] = aReport.mResources.mAccelerators;
  out["used_ms"] = aReport.mUsedMs;
  out["checkpoint"] = aReport.mCheckpoint;
  out["detail"] = aReport.mDetail;
  return out;
}

} // namespace

auto AcceptClaim(WorkerState& aState, const std::string& aToken) -> bool
{
  const auto token = platform::ParseFencingToken(aToken);
  if (aState.mIgnoresTokens) {
    return true;
  }
  if (!token || *token < aState.mHighestToken) {
    return false;
  }
  aState.mHighestToken = *token;
  return true;
}

auto IsCurrentToken(const WorkerState& aState, const std::string& aToken)
  -> bool
{
  const auto token = platform::ParseFencingToken(aToken);
  return aState.mIgnoresTokens || (token && *token == aState.mHighestToken);
}

auto ExecuteCommand(WorkerState& aState,
                    const std::string& aTarget,
                    const json::object& aBody) -> void
{
  if (const auto* commands = base::ArrayField(aBody, "commands")) {
    for (const auto& it : *commands) {
      Start(aState, it.get_object());
    }
  }
  const auto* attempts = base::ArrayField(aBody, "attempts");
  if (attempts == nullptr) {
    return;
  }
  for (const auto& it : *attempts) {
    const auto found = aState.mAttempts.find(AttemptKey(it.get_object()));
    if (found == aState.mAttempts.end()) {
      continue;
    }
    if (aTarget == "/agent/forget") {
      RecordEnd(aState, found->second, base::MonotonicClock::now());
      aState.mAttempts.erase(found);
    } else {
      ApplyToAttempt(found->second, aTarget, aBody);
    }
  }
}

auto Restart(WorkerState& aState) -> void
{
  const auto now = base::MonotonicClock::now();
  for (const auto& [name, it] : aState.mAttempts) {
    RecordEnd(aState, it, now);
  }
  aState.mAttempts.clear();
  aState.mRequests.clear();
  aState.mHighestToken = {};
  aState.mIncarnation = base::Cat(aState.mIncarnation, "+");
}

auto AdvanceAttempts(WorkerState& aState, base::MonotonicTime aNow) -> void
{
  std::int64_t cpuMillis = 0;
  std::int64_t memoryMb = 0;
  for (auto& [name, it] : aState.mAttempts) {
    AdvanceAttempt(it, aNow);
    if (it.mReport.mState == AttemptState::Running) {
      cpuMillis += it.mReport.mResources.mCpuMillis;
      memoryMb += it.mReport.mResources.mMemoryMb;
    } else {
      RecordEnd(aState, it, aNow);
    }
  }
  auto& observed = aState.mObserved;
  observed.mMaxCpuMillis = std::max(observed.mMaxCpuMillis, cpuMillis);
  observed.mMaxMemoryMb = std::max(observed.mMaxMemoryMb, memoryMb);
}

auto ToReport(const WorkerState& aState) -> json::object
{
  json::array requests;
  for (const auto& it : aState.mRequests) {
    requests.emplace_back(it);
  }
  json::array attempts;
  for (const auto& [name, it] : aState.mAttempts) {
    attempts.push_back(ToJson(it.mReport));
  }
  json::object out;
  out["incarnation"] = aState.mIncarnation;
  out["highest_token"] = platform::ToString(aState.mHighestToken);
  out["leaving"] = aState.mLeaving;
  out["requests"] = std::move(requests);
  out["attempts"] = std::move(attempts);
  return out;
}

auto ToObservation(const WorkerState& aState) -> json::object
{
  const auto& observed = aState.mObserved;
  json::object runs;
  for (const auto& [request, count] : observed.mRunCountByRequest) {
    runs[request] = count;
  }
  json::object out;
  out["worker"] = aState.mId;
  out["most_requests"] = observed.mMaxRequests;
  out["requests_run"] = observed.mRequestCount;
  out["most_cpu_millis"] = observed.mMaxCpuMillis;
  out["most_memory_mb"] = observed.mMaxMemoryMb;
  json::array attempts;
  for (const auto& it : observed.mAttempts) {
    attempts.push_back(ToJson(it));
  }
  out["attempts"] = std::move(attempts);
  out["runs_by_request"] = std::move(runs);
  out["starts"] = observed.mStarts;
  return out;
}

} // namespace eelgrasspost::standin

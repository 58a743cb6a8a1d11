#include "eelgrasspost/batch/jobcodec.h"

#include "eelgrasspost/base/jsonfields.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/batch/batcherrors.h"

namespace eelgrasspost::batch {

namespace {

namespace json = base::json;

auto ToJson(const TaskRecord& aTask) -> json::object
{
  json::object out;
  out["job"] = aTask.mJob;
  out["index"] = aTask.mIndex;
  out["state"] = std::string(base::NameOf(kTaskStateNames, aTask.mState));
  out["attempt"] = aTask.mAttempt;
  out["worker"] = aTask.mWorker;
  out["checkpoint"] = aTask.mCheckpoint;
  out["reason"] = aTask.mReason;
  return out;
}

auto ToJson(const JobSpec& aSpec) -> json::object
{
  json::object out;
  out["id"] = aSpec.mId;
  out["team"] = aSpec.mTeam;
  out["tasks"] = aSpec.mTasks;
  out["cpu_millis"] = aSpec.mResources.mCpuMillis;
  out["memory_mb"] = aSpec.mResources.mMemoryMb;
  out["accelerators"] = aSpec.mResources.mAccelerators;
  out["declared_run_ms"] = aSpec.mDeclaredRunMs;
  out["urgent"] = aSpec.mUrgent;
  out["command"] = aSpec.mCommand;
  return out;
}

} // namespace

auto ParseJob(std::string_view aText) -> absl::StatusOr<JobSpec>
{
  const auto root = base::ParseObject(aText);
  if (!root.ok()) {
    return base::MakeError(kBadJob, base::MessageOf(root.status()));
  }
  JobSpec out;
  out.mId = base::TextField(*root, "id");
  out.mTeam = base::TextField(*root, "team");
  out.mTasks = base::NumberField(*root, "tasks", 1);
  out.mResources.mCpuMillis = base::NumberField(*root, "cpu_millis");
  out.mResources.mMemoryMb = base::NumberField(*root, "memory_mb");
  out.mResources.mAccelerators = base::NumberField(*root, "accelerators");
  out.mDeclaredRunMs = base::NumberField(*root, "declared_run_ms");
  out.mUrgent = base::BoolField(*root, "urgent");
  out.mCommand = base::TextField(*root, "command");
  std::vector<std::string> errors;
  if (out.mId.empty()) {
    errors.emplace_back("id: give the job an id of its own");
  }
  if (out.mTasks < 1) {
    errors.emplace_back("tasks: write a number of at least 1");
  }
  if (out.mResources.mCpuMillis <= 0) {
    errors.emplace_back("cpu_millis: write thousandths of a core above 0");
  }
  if (out.mResources.mMemoryMb <= 0) {
    errors.emplace_back("memory_mb: write megabytes above 0");
  }
  if (!errors.empty()) {
    return base::MakeError(kBadJob, base::Join(errors, "\n"));
  }
  return out;
}

auto EncodeJob(const JobSpec& aSpec) -> std::string
{
  return base::ToText(ToJson(aSpec));
}

auto EncodeTask(const TaskRecord& aTask) -> std::string
{
  return base::ToText(ToJson(aTask));
}

auto DecodeTask(std::string_view aText) -> absl::StatusOr<TaskRecord>
{
  const auto root = base::ParseObject(aText);
  if (!root.ok()) {
    return root.status();
  }
  const auto state =
    base::ValueOf(kTaskStateNames, base::TextField(*root, "state"));
  if (!state) {
    return absl::InvalidArgumentError("a task's row without a state");
  }
  TaskRecord out;
  out.mJob = base::TextField(*root, "job");
  out.mIndex = base::NumberField(*root, "index");
  out.mState = *state;
  out.mAttempt =
    static_cast<std::uint64_t>(base::NumberField(*root, "attempt"));
  out.mWorker = base::TextField(*root, "worker");
  out.mCheckpoint = base::TextField(*root, "checkpoint");
  out.mReason = base::TextField(*root, "reason");
  return out;
}

auto EncodeStatus(const JobStatus& aStatus) -> std::string
{
  json::array tasks;
  for (const auto& it : aStatus.mTasks) {
    tasks.push_back(ToJson(it));
  }
  json::object out;
  out["job"] = ToJson(aStatus.mSpec);
  out["tasks"] = std::move(tasks);
  return base::ToText(out);
}

} // namespace eelgrasspost::batch

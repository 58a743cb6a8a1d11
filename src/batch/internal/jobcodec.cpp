#include "eelgrasspost/batch/jobcodec.h"

#include <algorithm>
#include <array>

#include "eelgrasspost/base/jsonfields.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/batch/batcherrors.h"

namespace eelgrasspost::batch {

namespace {

namespace json = base::json;

constexpr std::size_t kMaxIdLength = 100;

enum class FieldKind : std::uint8_t
{
  Id,
  Text,
  Number,
  Flag,
};

/** A field of a job as submitted by operators. */
struct JobField
{
  std::string_view mName;
  FieldKind mKind;
  bool mRequired;
  std::int64_t mMin;
  std::int64_t mMax;
  std::string_view mRemedy;
};

constexpr std::int64_t kMaxResourceAmount = 100'000'000;

constexpr auto kFields = std::array{
  JobField{ "id",
            FieldKind::Id,
            true,
            0,
            0,
            "write up to 100 letters, digits, '.', '_' or '-'" },
  JobField{ "team", FieldKind::Id, true, 0, 0, "write the team's name" },
  JobField{ "tasks",
            FieldKind::Number,
            false,
            1,
            kMaxTasks,
            "write a number of 1 to 1000000" },
  JobField{ "cpu_millis",
            FieldKind::Number,
            true,
            1,
            kMaxResourceAmount,
            "write thousandths of a core above 0" },
  JobField{ "memory_mb",
            FieldKind::Number,
            true,
            1,
            kMaxResourceAmount,
            "write megabytes above 0" },
  JobField{ "accelerators",
            FieldKind::Number,
            false,
            0,
            kMaxResourceAmount,
            "write a number of at least 0" },
  JobField{ "declared_run_ms",
            FieldKind::Number,
            false,
            0,
            INT64_MAX,
            "write milliseconds of at least 0" },
  JobField{ "urgent", FieldKind::Flag, false, 0, 0, "write true or false" },
  JobField{ "command", FieldKind::Text, false, 0, 0, "write a string" },
};

auto IsValid(const JobField& aField, const json::value& aValue) -> bool
{
  switch (aField.mKind) {
    case FieldKind::Id:
      return aValue.is_string() && IsJobId({ aValue.get_string().data(),
                                             aValue.get_string().size() });
    case FieldKind::Text:
      return aValue.is_string();
    case FieldKind::Number:
      return aValue.is_int64() && aValue.get_int64() >= aField.mMin &&
             aValue.get_int64() <= aField.mMax;
    case FieldKind::Flag:
      return aValue.is_bool();
  }
  return false;
}

auto FindValidationErrors(const json::object& aJob) -> std::vector<std::string>
{
  std::vector<std::string> out;
  for (const auto& it : kFields) {
    const auto* value = aJob.if_contains(it.mName);
    if (value == nullptr && it.mRequired) {
      out.push_back(base::Cat(it.mName, ": is missing; ", it.mRemedy));
    } else if (value != nullptr && !IsValid(it, *value)) {
      out.push_back(
        base::Cat(it.mName, ": ", base::ToText(*value), "; ", it.mRemedy));
    }
  }
  for (const auto& it : aJob) {
    const auto key = std::string_view(it.key().data(), it.key().size());
    if (std::ranges::find(kFields, key, &JobField::mName) == kFields.end()) {
      out.push_back(base::Cat(key, ": is not a field of a job; remove it"));
    }
  }
  return out;
}

auto ToSpec(const json::object& aObject) -> JobSpec
{
  JobSpec out;
  out.mId = base::TextField(aObject, "id");
  out.mTeam = base::TextField(aObject, "team");
  out.mTasks = base::NumberField(aObject, "tasks", 1);
  out.mResources.mCpuMillis = base::NumberField(aObject, "cpu_millis");
  out.mResources.mMemoryMb = base::NumberField(aObject, "memory_mb");
  out.mResources.mAccelerators = base::NumberField(aObject, "accelerators");
  out.mDeclaredRunMs = base::NumberField(aObject, "declared_run_ms");
  out.mUrgent = base::BoolField(aObject, "urgent");
  out.mCommand = base::TextField(aObject, "command");
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

/** Omits fields with default values, which most tasks have. */
auto ToJson(const TaskRecord& aTask) -> json::object
{
  json::object out;
  out["state"] = std::string(base::NameOf(kTaskStateNames, aTask.mState));
  if (aTask.mAttempt != 0) {
    out["attempt"] = aTask.mAttempt;
    out["worker"] = aTask.mWorker;
    out["token"] = platform::ToString(aTask.mToken);
    out["incarnation"] = aTask.mIncarnation;
  }
  if (!aTask.mCheckpoint.empty()) {
    out["checkpoint"] = aTask.mCheckpoint;
  }
  if (aTask.mUsedMs != 0) {
    out["used_ms"] = aTask.mUsedMs;
  }
  if (!aTask.mFailedOn.empty()) {
    json::array workers;
    for (const auto& it : aTask.mFailedOn) {
      workers.emplace_back(it);
    }
    out["failed_on"] = std::move(workers);
  }
  if (!aTask.mReason.empty()) {
    out["reason"] = aTask.mReason;
  }
  return out;
}

auto ToTask(const json::object& aObject) -> absl::StatusOr<TaskRecord>
{
  const auto state =
    base::ValueOf(kTaskStateNames, base::TextField(aObject, "state"));
  if (!state) {
    return absl::InvalidArgumentError("a task has no valid state");
  }
  TaskRecord out;
  out.mState = *state;
  out.mAttempt =
    static_cast<std::uint64_t>(base::NumberField(aObject, "attempt"));
  out.mWorker = base::TextField(aObject, "worker");
  out.mToken = platform::ParseFencingToken(base::TextField(aObject, "token"))
                 .value_or(platform::FencingToken());
  out.mIncarnation = base::TextField(aObject, "incarnation");
  out.mCheckpoint = base::TextField(aObject, "checkpoint");
  out.mUsedMs = base::NumberField(aObject, "used_ms");
  if (const auto* workers = base::ArrayField(aObject, "failed_on")) {
    for (const auto& it : *workers) {
      if (const auto* text = it.if_string()) {
        out.mFailedOn.emplace_back(text->data(), text->size());
      }
    }
  }
  out.mReason = base::TextField(aObject, "reason");
  return out;
}

/** Counts tasks by state; omits states without tasks. */
auto CountStates(const std::vector<TaskBlock>& aBlocks) -> json::object
{
  json::object out;
  for (const auto& name : kTaskStateNames) {
    std::int64_t count = 0;
    for (const auto& block : aBlocks) {
      count +=
        std::ranges::count(block.mTasks, name.mValue, &TaskRecord::mState);
    }
    if (count > 0) {
      out[name.mName] = count;
    }
  }
  return out;
}

} // namespace

auto IsJobId(std::string_view aText) -> bool
{
  constexpr std::string_view kAllowed =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
  return !aText.empty() && aText.size() <= kMaxIdLength &&
         aText.find_first_not_of(kAllowed) == std::string_view::npos;
}

auto ParseJob(std::string_view aText) -> absl::StatusOr<JobSpec>
{
  const auto root = base::ParseObject(aText);
  if (!root.ok()) {
    return base::MakeError(kBadJob, base::MessageOf(root.status()));
  }
  const auto errors = FindValidationErrors(*root);
  if (!errors.empty()) {
    return base::MakeError(kBadJob, base::Join(errors, "\n"));
  }
  return ToSpec(*root);
}

auto EncodeJob(const JobRecord& aJob) -> std::string
{
  json::object out;
  out["spec"] = ToJson(aJob.mSpec);
  out["cancelled"] = aJob.mCancelled;
  out["blocks_written"] = aJob.mBlocksWritten;
  return base::ToText(out);
}

auto DecodeJob(std::string_view aText) -> absl::StatusOr<JobRecord>
{
  const auto root = base::ParseObject(aText);
  if (!root.ok()) {
    return root.status();
  }
  const auto* spec = base::ObjectField(*root, "spec");
  if (spec == nullptr) {
    return absl::InvalidArgumentError("a job row has no spec");
  }
  return JobRecord{ ToSpec(*spec),
                    base::BoolField(*root, "cancelled"),
                    base::NumberField(*root, "blocks_written") };
}

auto EncodeBlock(const TaskBlock& aBlock) -> std::string
{
  json::array tasks;
  for (const auto& it : aBlock.mTasks) {
    tasks.push_back(ToJson(it));
  }
  json::object out;
  out["spec"] = ToJson(aBlock.mSpec);
  out["index"] = aBlock.mIndex;
  out["tasks"] = std::move(tasks);
  return base::ToText(out);
}

auto DecodeBlock(std::string_view aText) -> absl::StatusOr<TaskBlock>
{
  const auto root = base::ParseObject(aText);
  if (!root.ok()) {
    return root.status();
  }
  const auto* spec = base::ObjectField(*root, "spec");
  const auto* tasks = base::ArrayField(*root, "tasks");
  if (spec == nullptr || tasks == nullptr) {
    return absl::InvalidArgumentError("a block row has no spec or no tasks");
  }
  TaskBlock out;
  out.mSpec = ToSpec(*spec);
  out.mIndex = base::NumberField(*root, "index");
  for (const auto& it : *tasks) {
    if (!it.is_object()) {
      return absl::InvalidArgumentError("a task of a block is not an object");
    }
    auto task = ToTask(it.get_object());
    if (!task.ok()) {
      return task.status();
    }
    out.mTasks.push_back(*std::move(task));
  }
  return out;
}

auto EncodeStatus(const JobStatus& aStatus) -> std::string
{
  json::array tasks;
  for (const auto& block : aStatus.mBlocks) {
    auto index = block.mIndex * kTasksPerBlock;
    for (const auto& it : block.mTasks) {
      auto task = ToJson(it);
      task["index"] = index++;
      tasks.push_back(std::move(task));
    }
  }
  json::object out;
  out["job"] = ToJson(aStatus.mSpec);
  out["state"] = std::string(base::NameOf(kJobStateNames, aStatus.mState));
  out["counts"] = CountStates(aStatus.mBlocks);
  out["tasks"] = std::move(tasks);
  return base::ToText(out);
}

auto EncodeJobList(const std::vector<JobRecord>& aJobs) -> std::string
{
  json::array jobs;
  for (const auto& it : aJobs) {
    auto job = ToJson(it.mSpec);
    job["cancelled"] = it.mCancelled;
    jobs.push_back(std::move(job));
  }
  json::object out;
  out["jobs"] = std::move(jobs);
  return base::ToText(out);
}

} // namespace eelgrasspost::batch

#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "eelgrasspost/batch/batchtypes.h"

namespace eelgrasspost::batch {

/** Maximum number of tasks in a job. */
inline constexpr std::int64_t kMaxTasks = 1'000'000;

/** Parses a job in JSON; docs/jobs.md describes the format. The error lists
 * all invalid fields, each with its remedy. */
auto ParseJob(std::string_view aText) -> absl::StatusOr<JobSpec>;

/** Whether a text is a valid id of a job or a team. */
auto IsJobId(std::string_view aText) -> bool;

/** Encodes and decodes the row of a job. */
auto EncodeJob(const JobRecord& aJob) -> std::string;
auto DecodeJob(std::string_view aText) -> absl::StatusOr<JobRecord>;

/** Encodes and decodes the row of a block. */
auto EncodeBlock(const TaskBlock& aBlock) -> std::string;
auto DecodeBlock(std::string_view aText) -> absl::StatusOr<TaskBlock>;

/** Writes a job's status as JSON for operators. */
auto EncodeStatus(const JobStatus& aStatus) -> std::string;
/** Writes a list of jobs as JSON for operators. */
auto EncodeJobList(const std::vector<JobRecord>& aJobs) -> std::string;

} // namespace eelgrasspost::batch

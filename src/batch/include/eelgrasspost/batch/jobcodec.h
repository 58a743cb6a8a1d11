#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "eelgrasspost/batch/batchtypes.h"

namespace eelgrasspost::batch {

/** Most tasks of one job. */
inline constexpr std::int64_t kMaxTasks = 1'000'000;

/** Parses a job in JSON; the format is in docs/jobs.md. All mistakes are
 * reported at once, each with its field and remedy. */
auto ParseJob(std::string_view aText) -> absl::StatusOr<JobSpec>;

/** Whether a text may be the id of a job or a team. */
auto IsJobId(std::string_view aText) -> bool;

/** A job's row. */
auto EncodeJob(const JobRecord& aJob) -> std::string;
auto DecodeJob(std::string_view aText) -> absl::StatusOr<JobRecord>;

/** A block's row. */
auto EncodeBlock(const TaskBlock& aBlock) -> std::string;
auto DecodeBlock(std::string_view aText) -> absl::StatusOr<TaskBlock>;

/** Writes a job's status as JSON for operators. */
auto EncodeStatus(const JobStatus& aStatus) -> std::string;
/** Writes a list of jobs as JSON for operators. */
auto EncodeJobList(const std::vector<JobRecord>& aJobs) -> std::string;

} // namespace eelgrasspost::batch

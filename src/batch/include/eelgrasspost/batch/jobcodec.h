#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "eelgrasspost/batch/batchtypes.h"

namespace eelgrasspost::batch {

/** Parses a job in JSON; the format is in docs/jobs.md. All mistakes are
 * reported at once. */
auto ParseJob(std::string_view aText) -> absl::StatusOr<JobSpec>;
auto EncodeJob(const JobSpec& aSpec) -> std::string;

auto EncodeTask(const TaskRecord& aTask) -> std::string;
auto DecodeTask(std::string_view aText) -> absl::StatusOr<TaskRecord>;

/** Writes a job's status as JSON. */
auto EncodeStatus(const JobStatus& aStatus) -> std::string;

} // namespace eelgrasspost::batch

#include "jobsview.h"

#include "eelgrasspost/base/jsonfields.h"
#include "eelgrasspost/base/text.h"

namespace eelgrasspost::app {

namespace {

namespace json = base::json;

auto JobLine(const json::object& aJob) -> std::string
{
  return fmt::format("{}  team {}  {} tasks of {} cpu_millis, {} memory_mb, "
                     "{} accelerators{}{}\n",
                     base::TextField(aJob, "id"),
                     base::TextField(aJob, "team"),
                     base::NumberField(aJob, "tasks"),
                     base::NumberField(aJob, "cpu_millis"),
                     base::NumberField(aJob, "memory_mb"),
                     base::NumberField(aJob, "accelerators"),
                     base::BoolField(aJob, "urgent") ? "  urgent" : "",
                     base::BoolField(aJob, "cancelled") ? "  cancelled" : "");
}

auto TaskLine(const json::object& aTask) -> std::string
{
  const auto reason = base::TextField(aTask, "reason");
  return fmt::format("  task {}  {}  attempt {}  worker {}{}\n",
                     base::NumberField(aTask, "index"),
                     base::TextField(aTask, "state"),
                     base::NumberField(aTask, "attempt"),
                     base::TextField(aTask, "worker", "-"),
                     reason.empty() ? "" : "  " + reason);
}

auto Status(const json::object& aRoot, const json::object& aJob) -> std::string
{
  auto out = JobLine(aJob);
  base::Append(out, "state ", base::TextField(aRoot, "state"), "\n");
  if (const auto* counts = base::ObjectField(aRoot, "counts")) {
    for (const auto& it : *counts) {
      const auto key = std::string_view(it.key().data(), it.key().size());
      base::Append(out, "  ", key, " ", base::NumberField(*counts, key), "\n");
    }
  }
  if (const auto* tasks = base::ArrayField(aRoot, "tasks")) {
    for (const auto& it : *tasks) {
      out += TaskLine(it.get_object());
    }
  }
  return out;
}

} // namespace

auto ReadableJobs(std::string_view aAnswer) -> std::string
{
  const auto root = base::ParseObject(aAnswer);
  if (!root.ok()) {
    return std::string(aAnswer);
  }
  if (const auto* job = base::ObjectField(*root, "job")) {
    return Status(*root, *job);
  }
  if (const auto* jobs = base::ArrayField(*root, "jobs")) {
    std::string out;
    for (const auto& it : *jobs) {
      out += JobLine(it.get_object());
    }
    return out.empty() ? "no jobs\n" : out;
  }
  if (root->contains("cancelling")) {
    return base::Cat(
      "cancelling ", base::NumberField(*root, "cancelling"), " jobs\n");
  }
  if (root->contains("job")) {
    return base::Cat("accepted ", base::TextField(*root, "job"), "\n");
  }
  return std::string(aAnswer);
}

} // namespace eelgrasspost::app

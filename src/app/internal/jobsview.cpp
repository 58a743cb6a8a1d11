#include "jobsview.h"

#include "eelgrasspost/base/jsonfields.h"
#include "eelgrasspost/base/text.h"

namespace eelgrasspost::app {

namespace {

namespace json = base::json;

auto RenderJob(const json::object& aJob) -> std::string
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

auto RenderTask(const json::object& aTask) -> std::string
{
  const auto reason = base::TextField(aTask, "reason");
  return fmt::format("  task {}  {}  attempt {}  worker {}{}\n",
                     base::NumberField(aTask, "index"),
                     base::TextField(aTask, "state"),
                     base::NumberField(aTask, "attempt"),
                     base::TextField(aTask, "worker", "-"),
                     reason.empty() ? "" : "  " + reason);
}

auto RenderStatus(const json::object& aRoot, const json::object& aJob)
  -> std::string
{
  auto out = RenderJob(aJob);
  base::Append(out, "state ", base::TextField(aRoot, "state"), "\n");
  if (const auto* counts = base::ObjectField(aRoot, "counts")) {
    for (const auto& it : *counts) {
      const auto key = std::string_view(it.key().data(), it.key().size());
      base::Append(out, "  ", key, " ", base::NumberField(*counts, key), "\n");
    }
  }
  if (const auto* tasks = base::ArrayField(aRoot, "tasks")) {
    for (const auto& it : *tasks) {
      out += RenderTask(it.get_object());
    }
  }
  return out;
}

} // namespace

auto RenderJobs(std::string_view aBody) -> std::string
{
  const auto root = base::ParseObject(aBody);
  if (!root.ok()) {
    return std::string(aBody);
  }
  if (const auto* job = base::ObjectField(*root, "job")) {
    return RenderStatus(*root, *job);
  }
  if (const auto* jobs = base::ArrayField(*root, "jobs")) {
    std::string out;
    for (const auto& it : *jobs) {
      out += RenderJob(it.get_object());
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
  return std::string(aBody);
}

} // namespace eelgrasspost::app

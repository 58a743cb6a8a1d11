#include "eelgrasspost/explain/explain.h"

#include <array>
#include <iomanip>
#include <map>
#include <sstream>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/dispatch/dispatchlogevents.h"

namespace eelgrasspost::explain {

namespace {

constexpr double kMsPerSecond = 1000.0;

/** Fields that name a job or a task. */
constexpr auto kSubjectFields =
  std::array<std::string_view, 3>{ "job", "subject", "task" };
/** Fields that are printed in front of the others. */
constexpr auto kHeaderFields = std::array<std::string_view, 5>{ "event",
                                                                "utc_ms",
                                                                "steady_ms",
                                                                "entry",
                                                                "text" };

/** The job of a task's name "ID.OCCURRENCE.STEP.INDEX". */
auto JobOf(std::string_view aSubject) -> std::string_view
{
  return aSubject.substr(0, aSubject.find('.'));
}

auto IsAbout(const LogLine& aLine, std::string_view aJobId) -> bool
{
  return std::any_of(
    kSubjectFields.begin(), kSubjectFields.end(), [&](std::string_view aField) {
      return JobOf(base::TextField(aLine.mFields, aField)) == aJobId;
    });
}

auto RenderFields(const LogLine& aLine) -> std::string
{
  std::string out;
  for (const auto& it : aLine.mFields) {
    const auto key = std::string_view(it.key());
    if (std::find(kHeaderFields.begin(), kHeaderFields.end(), key) ==
        kHeaderFields.end()) {
      base::Append(out, " ", key, "=", base::ToText(it.value()));
    }
  }
  return out;
}

/** What ended a job, or where its history stops. */
auto RenderOutcome(const std::vector<const LogLine*>& aLines) -> std::string
{
  for (auto it = aLines.rbegin(); it != aLines.rend(); ++it) {
    const auto& line = **it;
    if (line.mEvent == dispatch::kJobEnded.mNumber) {
      return base::Cat("ended: ", base::TextField(line.mFields, "reason"));
    }
    const auto isAnswer =
      line.mEvent == dispatch::kJobRequestAnswered.mNumber &&
      base::TextField(line.mFields, "outcome") != "accepted";
    if (isAnswer) {
      return base::Cat("last answer: ",
                       base::TextField(line.mFields, "outcome"),
                       " ",
                       base::TextField(line.mFields, "reason"));
    }
  }
  return base::Cat("no end is logged; the last event is ",
                   aLines.back()->mText);
}

} // namespace

auto HasJob(const EntryLog& aLog, std::string_view aJobId) -> bool
{
  return std::any_of(
    aLog.mLines.begin(), aLog.mLines.end(), [&](const LogLine& aLine) {
      return IsAbout(aLine, aJobId);
    });
}

auto RenderHistory(const EntryLog& aLog, std::string_view aJobId) -> std::string
{
  std::vector<const LogLine*> lines;
  for (const auto& it : aLog.mLines) {
    if (IsAbout(it, aJobId)) {
      lines.push_back(&it);
    }
  }
  std::string out;
  if (lines.empty()) {
    return base::Cat("no line is about job ",
                     aJobId,
                     "; check the id, and that the logs of all entries of that "
                     "time are given\n");
  }
  for (const auto* it : lines) {
    base::Append(out,
                 "+",
                 it->mUtcMs - lines.front()->mUtcMs,
                 " ms ",
                 it->mEntry,
                 " E",
                 it->mEvent,
                 " ",
                 it->mText,
                 RenderFields(*it),
                 "\n");
  }
  base::Append(out, RenderOutcome(lines), "\n");
  if (aLog.mLeftOutLines > 0) {
    base::Append(out,
                 "the entries left out ",
                 aLog.mLeftOutLines,
                 " lines; some of this job may be missing\n");
  }
  return out;
}

auto SumTimes(const EntryLog& aLog) -> std::vector<QueueTimes>
{
  struct Start
  {
    std::int64_t mAtMs = 0;
    std::string mQueue;
  };
  std::map<std::string, QueueTimes> queues;
  std::map<std::string, std::string> queueOfTask;
  std::map<std::pair<std::string, std::int64_t>, Start> starts;
  for (const auto& it : aLog.mLines) {
    const auto task = base::TextField(it.mFields, "subject");
    const auto attempt = base::NumberField(it.mFields, "attempt");
    if (it.mEvent == dispatch::kTaskPlaced.mNumber) {
      const auto queue = base::TextField(it.mFields, "reason");
      auto& times = queues[queue];
      const auto* waited = it.mFields.if_contains("value");
      const auto seconds = waited && waited->is_number()
                             ? waited->to_number<double>() / kMsPerSecond
                             : 0.0;
      const auto isFirst = queueOfTask.emplace(task, queue).second;
      (isFirst ? times.mWaitForFirstStartS : times.mWaitForRestartS) += seconds;
      ++times.mStarts;
      starts[{ task, attempt }] = { it.mUtcMs, queue };
    } else if (it.mEvent == dispatch::kRunStopped.mNumber) {
      if (const auto known = queueOfTask.find(task);
          known != queueOfTask.end()) {
        ++queues[known->second].mStops;
      }
    } else if (it.mEvent == dispatch::kRunEnded.mNumber) {
      const auto start = starts.find({ task, attempt });
      if (start == starts.end()) {
        continue;
      }
      auto& times = queues[start->second.mQueue];
      const auto seconds =
        static_cast<double>(it.mUtcMs - start->second.mAtMs) / kMsPerSecond;
      const auto reason = base::TextField(it.mFields, "reason");
      auto& sum = reason == "done"      ? times.mRunDoneS
                  : reason == "stopped" ? times.mRunStoppedS
                  : reason == "failed"  ? times.mRunFailedS
                                        : times.mRunLostS;
      sum += seconds;
      starts.erase(start);
    }
  }
  std::vector<QueueTimes> out;
  for (auto& [name, it] : queues) {
    it.mQueue = name;
    out.push_back(std::move(it));
  }
  return out;
}

auto RenderTimes(const std::vector<QueueTimes>& aTimes) -> std::string
{
  std::ostringstream out;
  out << "seconds, summed over the tasks of each queue\n"
      << "queue            starts  stops  first wait  later waits    run done"
      << "     stopped      failed        lost\n"
      << std::fixed << std::setprecision(1);
  for (const auto& it : aTimes) {
    out << std::left << std::setw(16) << it.mQueue << std::right << std::setw(7)
        << it.mStarts << std::setw(7) << it.mStops;
    for (const auto seconds : { it.mWaitForFirstStartS,
                                it.mWaitForRestartS,
                                it.mRunDoneS,
                                it.mRunStoppedS,
                                it.mRunFailedS,
                                it.mRunLostS }) {
      out << std::setw(12) << seconds;
    }
    out << "\n";
  }
  return out.str();
}

} // namespace eelgrasspost::explain

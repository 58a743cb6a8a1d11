#include "explaincommand.h"

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include "eelgrasspost/explain/explain.h"

namespace eelgrasspost::app {

namespace {

auto ReadLogs(const std::vector<std::string>& aFiles)
  -> std::optional<explain::EntryLog>
{
  if (aFiles.empty()) {
    return explain::ReadLog(std::cin);
  }
  std::stringstream all;
  for (const auto& it : aFiles) {
    std::ifstream file(it);
    if (!file) {
      std::cerr << it << ": cannot be read; check its name and permissions\n";
      return std::nullopt;
    }
    all << file.rdbuf();
    // Inserting an empty file sets an error; a file may end within a line.
    all.clear();
    all << "\n";
  }
  return explain::ReadLog(all);
}

auto ReportSkippedLines(const explain::EntryLog& aLog) -> void
{
  if (aLog.mSkippedLines > 0) {
    std::cerr << aLog.mSkippedLines << " lines without an event were skipped\n";
  }
}

} // namespace

auto ExplainJob(const std::string& aJobId,
                const std::vector<std::string>& aFiles) -> ExitCode
{
  const auto log = ReadLogs(aFiles);
  if (!log) {
    return ExitCode::Usage;
  }
  std::cout << explain::RenderHistory(*log, aJobId);
  ReportSkippedLines(*log);
  return explain::HasJob(*log, aJobId) ? ExitCode::Done : ExitCode::Failed;
}

auto ExplainTimes(const std::vector<std::string>& aFiles) -> ExitCode
{
  const auto log = ReadLogs(aFiles);
  if (!log) {
    return ExitCode::Usage;
  }
  std::cout << explain::RenderTimes(explain::SumTimes(*log));
  ReportSkippedLines(*log);
  return ExitCode::Done;
}

} // namespace eelgrasspost::app

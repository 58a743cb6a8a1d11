#include "loadcommand.h"

#include <iostream>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/load/loadrun.h"

namespace eelgrasspost::app {

namespace {

auto ToPlan(const LoadArguments& aArguments) -> absl::StatusOr<load::LoadPlan>
{
  load::LoadPlan out;
  for (const auto& it : base::Split(aArguments.mEntries, ',')) {
    const auto address = net::ParseAddress(it);
    if (!address.ok()) {
      return address.status();
    }
    out.mTargets.push_back({ *address, {} });
  }
  if (out.mTargets.empty() || aArguments.mService.empty() ||
      aArguments.mDeadlineMs <= 0) {
    return absl::InvalidArgumentError(
      "give --entry IP:PORT, --service NAME and --deadline-ms above 0");
  }
  const auto steps = load::ParseSteps(aArguments.mSteps);
  if (!steps.ok()) {
    return steps.status();
  }
  out.mSteps = *steps;
  out.mPath = base::Cat("/services/", aArguments.mService, aArguments.mPath);
  out.mDeadline = base::Milliseconds(aArguments.mDeadlineMs);
  return out;
}

} // namespace

auto RunLoadCommand(const LoadArguments& aArguments) -> ExitCode
{
  const auto plan = ToPlan(aArguments);
  if (!plan.ok()) {
    std::cerr << base::MessageOf(plan.status()) << "\n";
    return ExitCode::Usage;
  }
  std::cout << load::ToTable(*plan, load::RunLoad(*plan));
  return ExitCode::Done;
}

} // namespace eelgrasspost::app

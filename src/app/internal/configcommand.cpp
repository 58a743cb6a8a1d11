#include "configcommand.h"

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include "eelgrasspost/adapter/adapter.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/configcheck/configcheck.h"

namespace eelgrasspost::app {

namespace {

auto ReadConfiguration(const std::string& aFile)
  -> std::optional<dispatch::Configuration>
{
  std::ifstream file(aFile);
  if (!file) {
    std::cerr << aFile << ": cannot be read; check its name and permissions\n";
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  auto out = adapter::MakeFormats()->DecodeConfiguration(text.str());
  if (!out.ok()) {
    std::cerr << aFile << ": " << base::MessageOf(out.status()) << "\n";
    return std::nullopt;
  }
  return *std::move(out);
}

} // namespace

auto CheckConfigurationFile(const std::string& aFile,
                            const std::string& aInForce) -> ExitCode
{
  const auto configuration = ReadConfiguration(aFile);
  if (!configuration) {
    return ExitCode::Usage;
  }
  auto findings = configcheck::CheckConfiguration(*configuration);
  if (!aInForce.empty()) {
    const auto inForce = ReadConfiguration(aInForce);
    if (!inForce) {
      return ExitCode::Usage;
    }
    const auto more = configcheck::CheckSuccession(*inForce, *configuration);
    findings.insert(findings.end(), more.begin(), more.end());
    std::cout << configcheck::Render(
      configcheck::CompareConfigurations(*inForce, *configuration));
  }
  std::cout << configcheck::Render(findings);
  return findings.empty() ? ExitCode::Done : ExitCode::Failed;
}

} // namespace eelgrasspost::app

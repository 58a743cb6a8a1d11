#include "commands.h"

#include <fstream>
#include <future>
#include <iostream>
#include <sstream>

#include <cxxopts.hpp>

#include "eelgrasspost/base/logging.h"
#include "eelgrasspost/base/text.h"
#include "entry.h"
#include "loadcommand.h"
#include "pages.h"

namespace eelgrasspost::app {

namespace {

constexpr std::string_view kUsage =
  "usage: eelgrasspost COMMAND [OPTIONS]\n"
  "  serve --settings FILE            run an entry\n"
  "  check-settings --settings FILE   check a settings file\n"
  "  settings                         list all settings\n"
  "  log-events                       list all numbered log events\n"
  "  note submit FILE --entry IP:PORT submit a release note\n"
  "  job submit FILE --entry IP:PORT  submit a job\n"
  "  job show ID --entry IP:PORT      show a job\n"
  "  load --entry IP:PORT,... --service NAME --steps RATE:SECONDS,...\n"
  "       --deadline-ms N [--path /PATH]\n"
  "                                   send requests, show what became of them\n"
  "  status --entry IP:PORT           show what an entry sees\n";

struct Arguments
{
  std::vector<std::string> mWords;
  std::string mSettings;
  std::string mEntry;
  std::string mOperator;
  LoadArguments mLoad;
};

auto ParseArguments(int aCount, char** aArguments) -> absl::StatusOr<Arguments>
{
  auto options = cxxopts::Options("eelgrasspost");
  options.add_options()("settings", "INI file", cxxopts::value<std::string>())(
    "entry", "IP:PORT of an entry", cxxopts::value<std::string>())(
    "operator", "who asks", cxxopts::value<std::string>())(
    "service", "name of a service", cxxopts::value<std::string>())(
    "path", "path below the service", cxxopts::value<std::string>())(
    "steps", "RATE:SECONDS,...", cxxopts::value<std::string>())(
    "deadline-ms", "of each request", cxxopts::value<std::string>())(
    "words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({ "words" });
  try {
    const auto parsed = options.parse(aCount, aArguments);
    Arguments out;
    if (parsed.count("words") > 0) {
      out.mWords = parsed["words"].as<std::vector<std::string>>();
    }
    const auto text = [&](const char* aName) {
      return parsed.count(aName) > 0 ? parsed[aName].as<std::string>()
                                     : std::string();
    };
    out.mSettings = text("settings");
    out.mEntry = text("entry");
    out.mOperator = text("operator");
    out.mLoad.mEntries = out.mEntry;
    out.mLoad.mService = text("service");
    out.mLoad.mPath = parsed.count("path") > 0 ? text("path") : "/";
    out.mLoad.mSteps = text("steps");
    out.mLoad.mDeadlineMs = base::ParseNumber(text("deadline-ms")).value_or(0);
    return out;
  } catch (const std::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
}

/** Sends one request to an entry and prints its answer. */
auto Ask(const Arguments& aArguments, net::HttpRequest aRequest) -> ExitCode
{
  const auto address = net::ParseAddress(aArguments.mEntry);
  if (!address.ok()) {
    std::cerr << "--entry: " << base::MessageOf(address.status()) << "\n";
    return ExitCode::Usage;
  }
  aRequest.mFields.push_back({ "Operator", aArguments.mOperator });
  constexpr auto kTimeout = std::chrono::seconds(10);
  net::IoPool pool(1);
  net::HttpClient client(1, {});
  std::promise<net::HttpExchange> promise;
  auto run = [&]() -> net::Task<void> {
    promise.set_value(co_await client.Exchange(
      *address, aRequest, base::MonotonicClock::now() + kTimeout));
  };
  pool.Spawn(pool.Executor(0), run());
  pool.Start();
  const auto exchange = promise.get_future().get();
  if (!exchange.mStatus.ok()) {
    std::cerr << base::MessageOf(exchange.mStatus)
              << "; check --entry and that the entry runs\n";
    return ExitCode::Unreachable;
  }
  constexpr unsigned kFirstError = 400;
  const auto failed = exchange.mResponse.mStatus >= kFirstError;
  (failed ? std::cerr : std::cout) << exchange.mResponse.mBody;
  return failed ? ExitCode::Failed : ExitCode::Done;
}

auto Post(const Arguments& aArguments,
          std::string aTarget,
          const std::string& aFile) -> ExitCode
{
  auto in = std::ifstream(aFile);
  if (!in) {
    std::cerr << aFile << ": cannot be read; give an existing file\n";
    return ExitCode::Usage;
  }
  std::stringstream text;
  text << in.rdbuf();
  return Ask(aArguments, { "POST", std::move(aTarget), {}, text.str() });
}

auto CheckSettings(const Arguments& aArguments) -> ExitCode
{
  const auto settings = LoadEntrySettings(aArguments.mSettings);
  if (!settings.ok()) {
    std::cerr << base::MessageOf(settings.status()) << "\n";
    return ExitCode::Failed;
  }
  std::cout << aArguments.mSettings << ": no mistakes\n";
  return ExitCode::Done;
}

auto Serve(const Arguments& aArguments) -> ExitCode
{
  auto settings = LoadEntrySettings(aArguments.mSettings);
  if (!settings.ok()) {
    std::cerr << base::MessageOf(settings.status()) << "\n";
    return ExitCode::Failed;
  }
  base::StartLogging(settings->mId, base::LogLevel::Info);
  Entry entry(*std::move(settings));
  const auto status = entry.Start();
  if (!status.ok()) {
    std::cerr << base::MessageOf(status) << "\n";
    return ExitCode::Failed;
  }
  entry.Run();
  return ExitCode::Done;
}

} // namespace

auto RunCommand(int aCount, char** aArguments) -> ExitCode
{
  const auto arguments = ParseArguments(aCount, aArguments);
  if (!arguments.ok()) {
    std::cerr << base::MessageOf(arguments.status()) << "\n" << kUsage;
    return ExitCode::Usage;
  }
  const auto& words = arguments->mWords;
  const auto command = base::Join(
    { words.begin(), words.begin() + std::min<std::size_t>(2, words.size()) },
    " ");
  if (command == "serve") {
    return Serve(*arguments);
  }
  if (command == "check-settings") {
    return CheckSettings(*arguments);
  }
  if (command == "load") {
    return RunLoadCommand(arguments->mLoad);
  }
  if (command == "settings") {
    std::cout << RenderSettings(EntrySettingFields());
    return ExitCode::Done;
  }
  if (command == "log-events") {
    std::cout << RenderLogEvents(AllLogEvents());
    return ExitCode::Done;
  }
  if (command == "status") {
    return Ask(*arguments, { "GET", "/status", {}, "" });
  }
  if (command == "note submit" && words.size() == 3) {
    return Post(*arguments, "/release-notes", words[2]);
  }
  if (command == "job submit" && words.size() == 3) {
    return Post(*arguments, "/jobs", words[2]);
  }
  if (command == "job show" && words.size() == 3) {
    return Ask(*arguments, { "GET", "/jobs/" + words[2], {}, "" });
  }
  std::cerr << kUsage;
  return ExitCode::Usage;
}

} // namespace eelgrasspost::app

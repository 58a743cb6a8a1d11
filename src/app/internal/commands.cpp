#include "commands.h"

#include <fstream>
#include <future>
#include <iostream>
#include <sstream>

#include <cxxopts.hpp>

#include "configcommand.h"
#include "dispatchcommand.h"
#include "dispatchsettings.h"
#include "eelgrasspost/base/jsonfields.h"
#include "eelgrasspost/base/logging.h"
#include "eelgrasspost/base/text.h"
#include "entry.h"
#include "explaincommand.h"
#include "jobsview.h"
#include "loadcommand.h"
#include "pages.h"
#include "responseview.h"

namespace eelgrasspost::app {

namespace {

constexpr std::string_view kUsage =
  "usage: eelgrasspost COMMAND [OPTIONS]\n"
  "  serve --settings FILE            run an entry\n"
  "  dispatch --settings FILE         run an entry on the users' platform\n"
  "  check-settings [dispatch] --settings FILE\n"
  "                                   check a settings file\n"
  "  check-configuration FILE [--in-force FILE]\n"
  "                                   check a configuration of the platform\n"
  "                                   and show what it changes\n"
  "  settings [dispatch]              list all settings\n"
  "  log-events                       list all numbered log events\n"
  "  note plan FILE --entry IP:PORT [--against REVISION]\n"
  "                                   show the changes that a note would make\n"
  "  note submit FILE --entry IP:PORT --operator NAME\n"
  "                                   submit a release note\n"
  "  note history --entry IP:PORT     list accepted notes\n"
  "  note show REVISION --entry IP:PORT\n"
  "                                   show an accepted note\n"
  "  audit --entry IP:PORT [--since 2h] [--actor NAME] [--object NAME]\n"
  "                                   list changes, oldest first\n"
  "  job submit FILE --entry IP:PORT  submit a job\n"
  "  job show ID --entry IP:PORT      show a job\n"
  "  job list [AFTER] --entry IP:PORT list jobs, after an id\n"
  "  job cancel ID... --entry IP:PORT cancel jobs\n"
  "  (job commands take --json)\n"
  "  load --entry IP:PORT,... --service NAME --steps RATE:SECONDS,...\n"
  "       --deadline-ms N [--path /PATH]\n"
  "                                   send requests and report their outcomes\n"
  "  status --entry IP:PORT           show the state of an entry\n"
  "  explain ID [FILE...]             show a job's history from log lines\n"
  "  explain --summary [FILE...]      add up where tasks spent their time\n"
  "  (explain reads standard input if no FILE is given)\n";

struct Arguments
{
  std::vector<std::string> mWords;
  std::string mSettings;
  std::string mEntry;
  std::string mOperator;
  std::string mAgainst;
  std::string mInForce;
  std::string mSince;
  std::string mActor;
  std::string mObject;
  bool mJson = false;
  bool mSummary = false;
  LoadArguments mLoad;
};

auto ParseArguments(int aCount, char** aArguments) -> absl::StatusOr<Arguments>
{
  auto options = cxxopts::Options("eelgrasspost");
  options.add_options()("settings", "INI file", cxxopts::value<std::string>())(
    "entry", "IP:PORT of an entry", cxxopts::value<std::string>())(
    "operator", "name of the operator", cxxopts::value<std::string>())(
    "against", "revision to plan against", cxxopts::value<std::string>())(
    "in-force", "file to compare with", cxxopts::value<std::string>())(
    "since", "oldest change to list", cxxopts::value<std::string>())(
    "actor", "who made the change", cxxopts::value<std::string>())(
    "object", "what was changed", cxxopts::value<std::string>())(
    "json", "print the entry's JSON")("summary", "add up all tasks")(
    "service", "name of a service", cxxopts::value<std::string>())(
    "path", "path below the service", cxxopts::value<std::string>())(
    "steps", "RATE:SECONDS,...", cxxopts::value<std::string>())(
    "deadline-ms", "deadline of each request", cxxopts::value<std::string>())(
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
    out.mAgainst = text("against");
    out.mInForce = text("in-force");
    out.mSince = text("since");
    out.mActor = text("actor");
    out.mObject = text("object");
    out.mJson = parsed.count("json") > 0;
    out.mSummary = parsed.count("summary") > 0;
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

/** Sends a request to an entry and prints the response. */
auto SendRequest(const Arguments& aArguments,
                 net::HttpRequest aRequest,
                 std::optional<ResponseView> aView = std::nullopt) -> ExitCode
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
              << "; check --entry and that the entry is running\n";
    return ExitCode::Unreachable;
  }
  constexpr unsigned kFirstErrorStatus = 400;
  const auto failed = exchange.mResponse.mStatus >= kFirstErrorStatus;
  const auto& body = exchange.mResponse.mBody;
  if (failed) {
    std::cerr << body;
  } else {
    const auto isRendered = aView && !aArguments.mJson;
    std::cout << (isRendered ? RenderResponse(*aView, body) : body);
  }
  return failed ? ExitCode::Failed : ExitCode::Done;
}

auto PostFile(const Arguments& aArguments,
              std::string aTarget,
              const std::string& aFile,
              std::optional<ResponseView> aView = std::nullopt) -> ExitCode
{
  auto in = std::ifstream(aFile);
  if (!in) {
    std::cerr << aFile << ": cannot be read; give an existing file\n";
    return ExitCode::Usage;
  }
  std::stringstream text;
  text << in.rdbuf();
  return SendRequest(
    aArguments, { "POST", std::move(aTarget), {}, text.str() }, aView);
}

auto PlanNote(const Arguments& aArguments) -> ExitCode
{
  auto target = std::string("/release-notes/plan");
  if (!aArguments.mAgainst.empty()) {
    if (!base::ParseNumber<std::uint64_t>(aArguments.mAgainst)) {
      std::cerr << "--against: write the number of a revision\n";
      return ExitCode::Usage;
    }
    base::Append(target, "?against=", aArguments.mAgainst);
  }
  return PostFile(
    aArguments, std::move(target), aArguments.mWords[2], ResponseView::Plan);
}

auto ShowAudit(const Arguments& aArguments) -> ExitCode
{
  auto target = std::string("/audit?limit=1000");
  if (!aArguments.mSince.empty()) {
    const auto since = ParseSince(aArguments.mSince, base::WallClockMs());
    if (!since.ok()) {
      std::cerr << "--since: " << base::MessageOf(since.status()) << "\n";
      return ExitCode::Usage;
    }
    base::Append(target, "&since=", *since);
  }
  if (!aArguments.mActor.empty()) {
    base::Append(target, "&actor=", aArguments.mActor);
  }
  if (!aArguments.mObject.empty()) {
    base::Append(target, "&object=", aArguments.mObject);
  }
  return SendRequest(
    aArguments, { "GET", std::move(target), {}, "" }, ResponseView::Audit);
}

/** Returns nullopt if the words name no command of release notes or audit. */
auto RunNoteCommand(const Arguments& aArguments, const std::string& aCommand)
  -> std::optional<ExitCode>
{
  const auto& words = aArguments.mWords;
  if (aCommand == "note plan" && words.size() == 3) {
    return PlanNote(aArguments);
  }
  if (aCommand == "note submit" && words.size() == 3) {
    return PostFile(
      aArguments, "/release-notes", words[2], ResponseView::Submitted);
  }
  if (aCommand == "note history" && words.size() == 2) {
    return SendRequest(
      aArguments, { "GET", "/release-notes", {}, "" }, ResponseView::History);
  }
  if (aCommand == "note show" && words.size() == 3) {
    return SendRequest(aArguments,
                       { "GET", "/release-notes/" + words[2], {}, "" },
                       ResponseView::Revision);
  }
  if (aCommand == "audit") {
    return ShowAudit(aArguments);
  }
  return std::nullopt;
}

auto CancelJobs(const Arguments& aArguments) -> ExitCode
{
  base::json::array ids;
  for (std::size_t i = 2; i < aArguments.mWords.size(); ++i) {
    ids.emplace_back(aArguments.mWords[i]);
  }
  base::json::object body;
  body["jobs"] = std::move(ids);
  return SendRequest(aArguments,
                     { "POST", "/jobs/cancel", {}, base::ToText(body) },
                     ResponseView::Jobs);
}

auto CheckSettings(const Arguments& aArguments) -> ExitCode
{
  const auto isDispatch =
    aArguments.mWords.size() > 1 && aArguments.mWords[1] == "dispatch";
  const auto status = isDispatch
                        ? LoadDispatchSettings(aArguments.mSettings).status()
                        : LoadEntrySettings(aArguments.mSettings).status();
  if (!status.ok()) {
    std::cerr << base::MessageOf(status) << "\n";
    return ExitCode::Failed;
  }
  std::cout << aArguments.mSettings << ": no errors\n";
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
  if (command == "dispatch") {
    return RunDispatch(arguments->mSettings);
  }
  if (command == "check-settings" || command == "check-settings dispatch") {
    return CheckSettings(*arguments);
  }
  if (words.size() == 2 && words[0] == "check-configuration") {
    return CheckConfigurationFile(words[1], arguments->mInForce);
  }
  if (command == "load") {
    return RunLoadCommand(arguments->mLoad);
  }
  if (command == "settings dispatch") {
    std::cout << RenderSettings(DispatchSettingFields());
    return ExitCode::Done;
  }
  if (command == "settings") {
    std::cout << RenderSettings(EntrySettingFields());
    return ExitCode::Done;
  }
  if (command == "log-events") {
    std::cout << RenderLogEvents(AllLogEvents());
    return ExitCode::Done;
  }
  const auto isExplain = !words.empty() && words[0] == "explain";
  if (isExplain && arguments->mSummary) {
    return ExplainTimes({ words.begin() + 1, words.end() });
  }
  if (isExplain && words.size() > 1) {
    return ExplainJob(words[1], { words.begin() + 2, words.end() });
  }
  if (command == "status") {
    return SendRequest(*arguments, { "GET", "/status", {}, "" });
  }
  if (const auto code = RunNoteCommand(*arguments, command)) {
    return *code;
  }
  if (command == "job submit" && words.size() == 3) {
    return PostFile(*arguments, "/jobs", words[2], ResponseView::Jobs);
  }
  if (command == "job show" && words.size() == 3) {
    return SendRequest(
      *arguments, { "GET", "/jobs/" + words[2], {}, "" }, ResponseView::Jobs);
  }
  if (command == "job list") {
    const auto after = words.size() > 2 ? "?after=" + words[2] : std::string();
    return SendRequest(
      *arguments, { "GET", "/jobs" + after, {}, "" }, ResponseView::Jobs);
  }
  if (command == "job cancel" && words.size() > 2) {
    return CancelJobs(*arguments);
  }
  std::cerr << kUsage;
  return ExitCode::Usage;
}

} // namespace eelgrasspost::app

#include "eelgrasspost/base/logging.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace eelgrasspost::base {

namespace {

auto ToLog4cxx(LogLevel aLevel) -> log4cxx::LevelPtr
{
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cxx::Level::getDebug();
    case LogLevel::Info:
      return log4cxx::Level::getInfo();
    case LogLevel::Warn:
      return log4cxx::Level::getWarn();
    case LogLevel::Error:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getError();
}

auto ProcessLogger() -> const log4cxx::LoggerPtr&
{
  static const auto kLogger = log4cxx::Logger::getLogger("eelgrasspost");
  return kLogger;
}

} // namespace

auto StartLogging(std::string_view aProcessName, LogLevel aMinLevel) -> void
{
  auto pattern =
    "%d{yyyy-MM-dd HH:mm:ss.SSS} " + std::string(aProcessName) + " %p %m%n";
  auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
  auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout);
  appender->setTarget("System.err");
  log4cxx::helpers::Pool pool;
  appender->activateOptions(pool);
  log4cxx::BasicConfigurator::configure(appender);
  ProcessLogger()->setLevel(ToLog4cxx(aMinLevel));
}

auto Log(const LogEvent& aEvent, std::string_view aDetail) -> void
{
  const auto& logger = ProcessLogger();
  auto level = ToLog4cxx(aEvent.mLevel);
  if (!logger->isEnabledFor(level)) {
    return;
  }
  auto line =
    "E" + std::to_string(aEvent.mNumber) + " " + std::string(aEvent.mText);
  if (!aDetail.empty()) {
    line += ": ";
    line += aDetail;
  }
  logger->forcedLog(level, line);
}

} // namespace eelgrasspost::base

#pragma once

#include <string>
#include <string_view>

namespace eelgrasspost::base {

enum class LogLevel
{
  Debug,
  Info,
  Warn,
  Error,
};

/**
 * One numbered event of the catalogue in docs/log-events.md. Each module lists
 * its events in <module>logevents.h, in a range of numbers of its own.
 */
struct LogEvent
{
  int mNumber;
  LogLevel mLevel;
  std::string_view mText;
  std::string_view mAction;
};

/** Starts logging to standard error; lines carry the process's name. */
auto StartLogging(std::string_view aProcessName, LogLevel aLowest) -> void;

/** Writes one line: number, text and the detail of this occurrence. */
auto Log(const LogEvent& aEvent, std::string_view aDetail = {}) -> void;

} // namespace eelgrasspost::base

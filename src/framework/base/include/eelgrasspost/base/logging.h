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
 * A numbered event of the catalogue in docs/log-events.md. Each module lists
 * its events in <module>logevents.h and has its own range of numbers.
 */
struct LogEvent
{
  int mNumber;
  LogLevel mLevel;
  std::string_view mText;
  std::string_view mAction;
};

/** Starts logging to standard error; each line contains the process name. */
auto StartLogging(std::string_view aProcessName, LogLevel aMinLevel) -> void;

/** Writes a line with the event's number and text, and the detail if given. */
auto Log(const LogEvent& aEvent, std::string_view aDetail = {}) -> void;

} // namespace eelgrasspost::base

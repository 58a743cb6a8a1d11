#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "eelgrasspost/base/logging.h"

namespace eelgrasspost::base {

/** One named value of a line. */
struct EventField
{
  std::string_view mName;
  std::variant<std::int64_t, double, std::string_view> mValue;
};

/**
 * Writes numbered events as JSON lines to standard output. Writing never
 * blocks: lines wait in a bounded buffer, and each kind of event has a rate;
 * what is left out is counted and reported.
 */
class EventLog
{
public:
  /** aProcess is part of each line. */
  explicit EventLog(std::string aProcess);

  auto Record(const LogEvent& aEvent, std::initializer_list<EventField> aFields)
    -> void;
  /** Hands what waits to standard output, as far as it takes it. */
  auto Flush() -> void;
  /** Lines that were left out since the start. */
  auto Dropped() const -> std::uint64_t { return mDropped; }

private:
  auto IsOverRate(int aNumber, std::int64_t aSteadyMs) -> bool;

  std::string mProcess;
  std::string mWaiting;
  std::uint64_t mDropped = 0;
  std::uint64_t mDroppedReported = 0;
  std::int64_t mSecond = 0;
  static constexpr std::size_t kKinds = 256;
  std::uint16_t mCounts[kKinds] = {};
};

} // namespace eelgrasspost::base

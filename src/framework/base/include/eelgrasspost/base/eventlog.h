#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "eelgrasspost/base/logging.h"

namespace eelgrasspost::base {

/** A named value of an event. */
struct EventField
{
  std::string_view mName;
  std::variant<std::int64_t, double, std::string_view> mValue;
};

/**
 * Writes numbered events as JSON lines to standard output. Writing never
 * blocks: lines are kept in a bounded buffer, and each event number has a rate
 * limit. Lines that are dropped are counted, and the next line that is written
 * reports how many they were.
 */
class EventLog
{
public:
  /** aProcess is the value of the field "entry" in each line. */
  explicit EventLog(std::string aProcess);

  auto Record(const LogEvent& aEvent, std::initializer_list<EventField> aFields)
    -> void
  {
    Record(aEvent, std::span(aFields.begin(), aFields.size()));
  }
  auto Record(const LogEvent& aEvent, std::span<const EventField> aFields)
    -> void;
  /** Writes as much of the buffer as standard output takes without blocking. */
  auto Flush() -> void;
  /** Number of lines dropped since the start. */
  auto Dropped() const -> std::uint64_t { return mDropped; }

private:
  auto IsOverRate(int aNumber, std::int64_t aSteadyMs) -> bool;

  std::string mProcess;
  std::string mBuffer;
  std::uint64_t mDropped = 0;
  std::uint64_t mReportedDropped = 0;
  std::int64_t mSecond = 0;
  static constexpr std::size_t kRateSlots = 256;
  std::uint16_t mCounts[kRateSlots] = {};
};

} // namespace eelgrasspost::base

#include "eelgrasspost/base/eventlog.h"

#include <cstring>

#include <fcntl.h>
#include <unistd.h>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/base/text.h"

namespace eelgrasspost::base {

namespace {

/** Limit per event number. It is enough for the decisions of a cell at its
 * usual load, and bounds the output when an event floods the log. */
constexpr std::uint16_t kMaxLinesPerSecond = 120;
/** Limit of the lines that are buffered for standard output. */
constexpr std::size_t kMaxBufferBytes = 128 * 1024;

auto AppendText(std::string& aOut, std::string_view aText) -> void
{
  constexpr unsigned char kFirstPrintable = 0x20;
  aOut += '"';
  for (const auto it : aText) {
    if (it == '"' || it == '\\') {
      aOut += '\\';
      aOut += it;
    } else if (static_cast<unsigned char>(it) < kFirstPrintable) {
      fmt::format_to(
        std::back_inserter(aOut), "\\u{:04x}", static_cast<unsigned char>(it));
    } else {
      aOut += it;
    }
  }
  aOut += '"';
}

auto AppendField(std::string& aOut, const EventField& aField) -> void
{
  aOut += ',';
  AppendText(aOut, aField.mName);
  aOut += ':';
  if (const auto* text = std::get_if<std::string_view>(&aField.mValue)) {
    AppendText(aOut, *text);
  } else if (const auto* n = std::get_if<std::int64_t>(&aField.mValue)) {
    Append(aOut, *n);
  } else {
    fmt::format_to(
      std::back_inserter(aOut), "{:.3g}", std::get<double>(aField.mValue));
  }
}

auto SteadyMs() -> std::int64_t
{
  return std::chrono::duration_cast<Milliseconds>(
           MonotonicClock::now().time_since_epoch())
    .count();
}

} // namespace

EventLog::EventLog(std::string aProcess)
  : mProcess(std::move(aProcess))
{
  const auto flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
}

auto EventLog::IsOverRate(int aNumber, std::int64_t aSteadyMs) -> bool
{
  constexpr std::int64_t kMsPerSecond = 1000;
  const auto second = aSteadyMs / kMsPerSecond;
  if (second != mSecond) {
    mSecond = second;
    std::memset(mCounts, 0, sizeof(mCounts));
  }
  auto& count = mCounts[static_cast<std::size_t>(aNumber) % kRateSlots];
  return ++count > kMaxLinesPerSecond;
}

auto EventLog::Record(const LogEvent& aEvent,
                      std::span<const EventField> aFields) -> void
{
  const auto steadyMs = SteadyMs();
  if (IsOverRate(aEvent.mNumber, steadyMs) ||
      mBuffer.size() > kMaxBufferBytes) {
    ++mDropped;
    return;
  }
  Append(mBuffer,
         "{\"event\":",
         aEvent.mNumber,
         ",\"utc_ms\":",
         WallClockMs(),
         ",\"steady_ms\":",
         steadyMs,
         ",\"entry\":");
  AppendText(mBuffer, mProcess);
  mBuffer += ",\"text\":";
  AppendText(mBuffer, aEvent.mText);
  for (const auto& it : aFields) {
    AppendField(mBuffer, it);
  }
  if (mDropped > mReportedDropped) {
    Append(mBuffer, ",\"lines_left_out\":", mDropped - mReportedDropped);
    mReportedDropped = mDropped;
  }
  mBuffer += "}\n";
}

auto EventLog::Flush() -> void
{
  while (!mBuffer.empty()) {
    const auto n = ::write(STDOUT_FILENO, mBuffer.data(), mBuffer.size());
    if (n <= 0) {
      // The reader is slow or gone; lines are dropped once the buffer is full.
      return;
    }
    mBuffer.erase(0, static_cast<std::size_t>(n));
  }
}

} // namespace eelgrasspost::base

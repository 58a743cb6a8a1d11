#include "resolvedwrite.h"

#include <algorithm>

#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::idempotency {

namespace {

constexpr auto kFirstBackoff = base::Milliseconds(10);
constexpr auto kLongestBackoff = base::Milliseconds(500);

/** What a row that was read back says of a write; nothing when the write may
 * be tried again. */
auto JudgeRow(const platform::TableWrite& aWrite,
              const std::optional<platform::TableRow>& aRow)
  -> std::optional<SettledEnd>
{
  if (aRow && aRow->mValue == aWrite.mValue) {
    return SettledEnd::Written;
  }
  const auto version = aRow ? aRow->mVersion : platform::kAbsent;
  if (version != aWrite.mExpectedVersion) {
    return SettledEnd::Conflict;
  }
  return std::nullopt;
}

} // namespace

auto WriteSettled(GroupWriter& aWriter,
                  platform::ITable& aTable,
                  platform::TableWrite aWrite,
                  base::Milliseconds aCallTimeout,
                  base::MonotonicTime aDeadline) -> net::Task<Settled>
{
  auto backoff = kFirstBackoff;
  auto wasSent = false;
  while (base::MonotonicClock::now() < aDeadline) {
    const auto end = co_await aWriter.Write(aWrite, aDeadline);
    if (end == WriteEnd::Written) {
      co_return Settled{ SettledEnd::Written, {} };
    }
    // A conflict writes nothing of the group.
    wasSent = wasSent || end == WriteEnd::NoAnswer;
    const auto now = base::MonotonicClock::now();
    const auto read =
      co_await aTable.Read(platform::TableUse::IdempotencyKey,
                           aWrite.mKey,
                           std::min(aDeadline, now + aCallTimeout));
    if (read.ok()) {
      if (const auto judged = JudgeRow(aWrite, *read)) {
        co_return Settled{ *judged, *read };
      }
    }
    if (end != WriteEnd::GroupConflict || !read.ok()) {
      const auto left = aDeadline - base::MonotonicClock::now();
      co_await net::Sleep(std::chrono::duration_cast<base::Microseconds>(
        std::min<base::MonotonicClock::duration>(left, backoff)));
      backoff = std::min(backoff * 2, kLongestBackoff);
    }
  }
  co_return Settled{ wasSent ? SettledEnd::Unsettled : SettledEnd::NotSent,
                     {} };
}

} // namespace eelgrasspost::idempotency

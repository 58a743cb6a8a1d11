#include "resolvedwrite.h"

#include <algorithm>

#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::idempotency {

namespace {

constexpr auto kInitialBackoff = base::Milliseconds(10);
constexpr auto kMaxBackoff = base::Milliseconds(500);

/** Resolves a write by its row as read back; nullopt if the write may be
 * retried. */
auto ClassifyRow(const platform::TableWrite& aWrite,
                 const std::optional<platform::TableRow>& aRow)
  -> std::optional<WriteResolution>
{
  if (aRow && aRow->mValue == aWrite.mValue) {
    return WriteResolution::Written;
  }
  const auto version = aRow ? aRow->mVersion : platform::kAbsent;
  if (version != aWrite.mExpectedVersion) {
    return WriteResolution::Conflict;
  }
  return std::nullopt;
}

} // namespace

auto WriteUntilResolved(WriteBatcher& aWriter,
                        platform::ITable& aTable,
                        platform::TableWrite aWrite,
                        base::Milliseconds aCallTimeout,
                        base::MonotonicTime aDeadline)
  -> net::Task<ResolvedWrite>
{
  auto backoff = kInitialBackoff;
  auto wasSent = false;
  while (base::MonotonicClock::now() < aDeadline) {
    const auto outcome = co_await aWriter.Write(aWrite, aDeadline);
    if (outcome == WriteOutcome::Written) {
      co_return ResolvedWrite{ WriteResolution::Written, {} };
    }
    // A conflict applies no write of the batch.
    wasSent = wasSent || outcome == WriteOutcome::NoResponse;
    const auto now = base::MonotonicClock::now();
    const auto read =
      co_await aTable.Read(platform::TableUse::IdempotencyKey,
                           aWrite.mKey,
                           std::min(aDeadline, now + aCallTimeout));
    if (read.ok()) {
      if (const auto resolution = ClassifyRow(aWrite, *read)) {
        co_return ResolvedWrite{ *resolution, *read };
      }
    }
    if (outcome != WriteOutcome::BatchConflict || !read.ok()) {
      const auto left = aDeadline - base::MonotonicClock::now();
      co_await net::Sleep(std::chrono::duration_cast<base::Microseconds>(
        std::min<base::MonotonicClock::duration>(left, backoff)));
      backoff = std::min(backoff * 2, kMaxBackoff);
    }
  }
  co_return ResolvedWrite{ wasSent ? WriteResolution::Unresolved
                                   : WriteResolution::NotSent,
                           {} };
}

} // namespace eelgrasspost::idempotency

#pragma once

#include "writebatcher.h"

namespace eelgrasspost::idempotency {

/** What is known of a write after it was settled by reading back. */
enum class SettledEnd : std::uint8_t
{
  Written,
  /** Another write came first; nothing of this one was or will be written. */
  Conflict,
  /** No try was sent. */
  NotSent,
  /** Not settled before the deadline. */
  Unsettled,
};

struct Settled
{
  SettledEnd mEnd = SettledEnd::NotSent;
  /** The row that came first, if it still exists. */
  std::optional<platform::TableRow> mRow;
};

/**
 * Writes a row under its expected version until it is known whether the write
 * took effect. The value must hold a token of its own: a lost answer is
 * settled by reading it back, and repeating the same write is harmless.
 */
auto WriteSettled(GroupWriter& aWriter,
                  platform::ITable& aTable,
                  platform::TableWrite aWrite,
                  base::Milliseconds aCallTimeout,
                  base::MonotonicTime aDeadline) -> net::Task<Settled>;

} // namespace eelgrasspost::idempotency

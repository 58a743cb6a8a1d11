#pragma once

#include "writebatcher.h"

namespace eelgrasspost::idempotency {

/** Outcome of a write after its row was read back. */
enum class WriteResolution : std::uint8_t
{
  Written,
  /** Another write changed the row first; this write was not and will not be
   * applied. */
  Conflict,
  /** No attempt was sent. */
  NotSent,
  /** The outcome is still unknown at the deadline. */
  Unresolved,
};

struct ResolvedWrite
{
  WriteResolution mResolution = WriteResolution::NotSent;
  /** On a conflict: the row as read back, if it exists. */
  std::optional<platform::TableRow> mRow;
};

/**
 * Retries a conditional write until it is known whether it was applied. The
 * value must contain a unique token, so that a write whose response was lost is
 * recognized when the row is read back. The expected version lets the write be
 * applied at most once.
 */
auto WriteUntilResolved(WriteBatcher& aWriter,
                        platform::ITable& aTable,
                        platform::TableWrite aWrite,
                        base::Milliseconds aCallTimeout,
                        base::MonotonicTime aDeadline)
  -> net::Task<ResolvedWrite>;

} // namespace eelgrasspost::idempotency

#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/platform/platformtypes.h"

namespace eelgrasspost::ownership {

/**
 * Accounts for the slots of one worker under one lease. Reserving and releasing
 * are lock-free. The slot of an attempt with unknown outcome stays occupied
 * until it is proved that the attempt has ended or can never start.
 */
class SlotLedger
{
public:
  SlotLedger(std::int64_t aSlots, std::int64_t aInitiallyUsed);

  /** Reserves a slot; false when all are occupied or the ledger is closed. */
  auto TryReserve() -> bool;
  auto Release() -> void;
  /** Keeps a reserved slot occupied for an attempt with unknown outcome whose
   * request may still be in transit to the worker. */
  auto AddUnknownAttempt(std::string aAttemptId) -> void;
  /** Keeps a slot occupied for an attempt that the worker has reported, so
   * that it is known to have arrived. */
  auto AddReportedAttempt(std::string aAttemptId) -> void;
  /** Attempts with unknown outcome, also those of earlier holders. */
  auto UnknownAttempts() const -> std::vector<std::string>;
  /** Whether a request of an unknown attempt may still be in transit. Its
   * absence from a report then does not prove that the attempt has ended. */
  auto HasUnfencedAttempts() const -> bool;
  /** Records that the worker has accepted a higher token than these attempts
   * carry. It will refuse those that have not arrived yet. */
  auto MarkFenced(const std::vector<std::string>& aAttempts) -> void;
  /** Compares the unknown attempts with those that a worker reports as running.
   * A listed attempt has arrived. An absent attempt that cannot arrive any more
   * has ended, and its slot is released. */
  auto ReconcileWithReport(const std::vector<std::string>& aRunning) -> void;
  /** Releases the slots of attempts that have been unknown since before a time;
   * for workers that cannot fence. */
  auto ReleaseUnknownBefore(base::MonotonicTime aTime) -> void;
  /** Releases the slot of an unknown attempt that has ended. */
  auto ReleaseUnknown(const std::string& aAttemptId) -> void;
  /** Refuses all further reservations. */
  auto Close() -> void;

  auto Slots() const -> std::int64_t { return mSlots; }
  auto Used() const -> std::int64_t;

private:
  struct UnknownAttempt
  {
    std::string mId;
    bool mMayStillArrive = true;
    base::MonotonicTime mSince;
  };

  const std::int64_t mSlots;
  std::atomic<std::int64_t> mUsed;
  std::atomic<bool> mClosed{ false };
  mutable std::mutex mUnknownMutex;
  std::vector<UnknownAttempt> mUnknown;
};

} // namespace eelgrasspost::ownership

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
 * The slots of one worker under one lease. Reserving and releasing are
 * lock-free. A slot whose request's end is not known stays occupied until it
 * is proved that the request has ended or can never start.
 */
class SlotLedger
{
public:
  SlotLedger(std::int64_t aSlots, std::int64_t aInitiallyUsed);

  /** Takes a slot; false when all are occupied or the ledger is closed. */
  auto TryReserve() -> bool;
  /** Gives a slot back. */
  auto Release() -> void;
  /** Keeps a reserved slot occupied for a request whose end is not known and
   * that may still be on its way to the worker. */
  auto AddUnknownAttempt(std::string aAttemptId) -> void;
  /** The same for a request that the worker has reported. */
  auto AddReportedAttempt(std::string aAttemptId) -> void;
  /** Attempts whose end is not known. */
  auto UnknownAttempts() const -> std::vector<std::string>;
  /** Whether an unknown attempt may still be on its way, so that its absence
   * from a report proves nothing. */
  auto HasUnfencedAttempts() const -> bool;
  /** Notes that the worker has taken a higher token than these attempts
   * carry: those that have not arrived will be refused. */
  auto MarkFenced(const std::vector<std::string>& aAttempts) -> void;
  /** Takes in the attempts of a report. An unknown attempt that is listed has
   * arrived; one that is absent and cannot arrive any more has ended, and its
   * slot is freed. */
  auto ReconcileWithReport(const std::vector<std::string>& aRunning) -> void;
  /** Frees the slots of attempts that have been unknown since before a time;
   * for workers that cannot fence. */
  auto ReleaseUnknownBefore(base::MonotonicTime aTime) -> void;
  /** Frees the slot of an attempt that is known to have ended. */
  auto ReleaseUnknown(const std::string& aAttemptId) -> void;
  /** No slot is given from now on. */
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

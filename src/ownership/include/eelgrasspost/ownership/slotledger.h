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
 * The slots of one worker under one fencing token. Reserving and releasing are
 * lock-free. A slot whose request's end is not known stays occupied until a
 * report that was taken under a higher token shows that the request has ended.
 */
class SlotLedger
{
public:
  SlotLedger(std::int64_t aSlots, std::int64_t aAlreadyUsed);

  /** Takes a slot; false when all are occupied or the ledger is closed. */
  auto TryReserve() -> bool;
  /** Gives a slot back. */
  auto Release() -> void;
  /** Keeps a slot occupied for a request whose end is not known. */
  auto KeepForUnknown(std::string aAttemptId) -> void;
  /** Takes the attempts that wait for a report. */
  auto UnknownAttempts() const -> std::vector<std::string>;
  /** Frees the slot of an attempt that is known to have ended. */
  auto ForgetUnknown(const std::string& aAttemptId) -> void;
  /** No slot is given from now on. */
  auto Close() -> void;

  auto Slots() const -> std::int64_t { return mSlots; }
  auto Used() const -> std::int64_t;

private:
  const std::int64_t mSlots;
  std::atomic<std::int64_t> mUsed;
  std::atomic<bool> mClosed{ false };
  mutable std::mutex mUnknownMutex;
  std::vector<std::string> mUnknown;
};

} // namespace eelgrasspost::ownership

#include "eelgrasspost/ownership/slotledger.h"

#include <algorithm>

namespace eelgrasspost::ownership {

SlotLedger::SlotLedger(std::int64_t aSlots, std::int64_t aAlreadyUsed)
  : mSlots(aSlots)
  , mUsed(aAlreadyUsed)
{
}

auto SlotLedger::TryReserve() -> bool
{
  if (mClosed.load(std::memory_order_acquire)) {
    return false;
  }
  auto used = mUsed.load(std::memory_order_relaxed);
  while (used < mSlots) {
    if (mUsed.compare_exchange_weak(used, used + 1)) {
      return true;
    }
  }
  return false;
}

auto SlotLedger::Release() -> void
{
  mUsed.fetch_sub(1, std::memory_order_release);
}

auto SlotLedger::KeepForUnknown(std::string aAttemptId) -> void
{
  auto lock = std::lock_guard(mUnknownMutex);
  mUnknown.push_back(std::move(aAttemptId));
}

auto SlotLedger::UnknownAttempts() const -> std::vector<std::string>
{
  auto lock = std::lock_guard(mUnknownMutex);
  return mUnknown;
}

auto SlotLedger::ForgetUnknown(const std::string& aAttemptId) -> void
{
  auto lock = std::lock_guard(mUnknownMutex);
  const auto it = std::ranges::find(mUnknown, aAttemptId);
  if (it != mUnknown.end()) {
    mUnknown.erase(it);
    Release();
  }
}

auto SlotLedger::Close() -> void
{
  mClosed.store(true, std::memory_order_release);
}

auto SlotLedger::Used() const -> std::int64_t
{
  return mUsed.load(std::memory_order_relaxed);
}

} // namespace eelgrasspost::ownership

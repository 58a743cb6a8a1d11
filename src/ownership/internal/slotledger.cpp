#include "eelgrasspost/ownership/slotledger.h"

#include <algorithm>

namespace eelgrasspost::ownership {

namespace {

auto Contains(const std::vector<std::string>& aTexts, const std::string& aText)
  -> bool
{
  return std::ranges::find(aTexts, aText) != aTexts.end();
}

} // namespace

SlotLedger::SlotLedger(std::int64_t aSlots, std::int64_t aInitiallyUsed)
  : mSlots(aSlots)
  , mUsed(aInitiallyUsed)
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

auto SlotLedger::AddUnknownAttempt(std::string aAttemptId) -> void
{
  auto lock = std::lock_guard(mUnknownMutex);
  mUnknown.push_back(
    { std::move(aAttemptId), true, base::MonotonicClock::now() });
}

auto SlotLedger::AddReportedAttempt(std::string aAttemptId) -> void
{
  auto lock = std::lock_guard(mUnknownMutex);
  mUnknown.push_back(
    { std::move(aAttemptId), false, base::MonotonicClock::now() });
}

auto SlotLedger::UnknownAttempts() const -> std::vector<std::string>
{
  auto lock = std::lock_guard(mUnknownMutex);
  std::vector<std::string> out;
  out.reserve(mUnknown.size());
  for (const auto& it : mUnknown) {
    out.push_back(it.mId);
  }
  return out;
}

auto SlotLedger::HasUnfencedAttempts() const -> bool
{
  auto lock = std::lock_guard(mUnknownMutex);
  return std::ranges::any_of(mUnknown, &UnknownAttempt::mMayStillArrive);
}

auto SlotLedger::MarkFenced(const std::vector<std::string>& aAttempts) -> void
{
  auto lock = std::lock_guard(mUnknownMutex);
  for (auto& it : mUnknown) {
    if (Contains(aAttempts, it.mId)) {
      it.mMayStillArrive = false;
    }
  }
}

auto SlotLedger::ReconcileWithReport(const std::vector<std::string>& aRunning)
  -> void
{
  auto lock = std::lock_guard(mUnknownMutex);
  const auto hasEnded = [&](UnknownAttempt& aAttempt) {
    if (Contains(aRunning, aAttempt.mId)) {
      aAttempt.mMayStillArrive = false;
      return false;
    }
    return !aAttempt.mMayStillArrive;
  };
  const auto ended = std::erase_if(mUnknown, hasEnded);
  mUsed.fetch_sub(static_cast<std::int64_t>(ended), std::memory_order_release);
}

auto SlotLedger::ReleaseUnknownBefore(base::MonotonicTime aTime) -> void
{
  auto lock = std::lock_guard(mUnknownMutex);
  const auto forgotten =
    std::erase_if(mUnknown, [&](const UnknownAttempt& aAttempt) {
      return aAttempt.mSince < aTime;
    });
  mUsed.fetch_sub(static_cast<std::int64_t>(forgotten),
                  std::memory_order_release);
}

auto SlotLedger::ReleaseUnknown(const std::string& aAttemptId) -> void
{
  auto lock = std::lock_guard(mUnknownMutex);
  const auto it = std::ranges::find(mUnknown, aAttemptId, &UnknownAttempt::mId);
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

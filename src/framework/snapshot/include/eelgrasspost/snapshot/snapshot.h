#pragma once

#include <atomic>
#include <memory>
#include <mutex>

namespace eelgrasspost::snapshot {

/** Marks an RCU read-side critical section; registers the thread with the RCU
 * library on first use. */
class ReadGuard
{
public:
  ReadGuard();
  ~ReadGuard();
  ReadGuard(const ReadGuard&) = delete;
  auto operator=(const ReadGuard&) -> ReadGuard& = delete;
};

/** Waits until every read-side critical section that existed at the call has
 * ended. */
auto WaitForReaders() -> void;

/**
 * An immutable value that readers get without a lock and writers replace as a
 * whole. Read() copies a shared pointer inside an RCU read-side critical
 * section, so that callers may keep the value across suspension points.
 */
template<typename T>
class Snapshot
{
public:
  explicit Snapshot(std::shared_ptr<const T> aInitial)
    : mCurrent(new std::shared_ptr<const T>(std::move(aInitial)))
  {
  }
  Snapshot(const Snapshot&) = delete;
  auto operator=(const Snapshot&) -> Snapshot& = delete;
  ~Snapshot() { delete mCurrent.load(); }

  auto Read() const -> std::shared_ptr<const T>
  {
    auto guard = ReadGuard();
    return *mCurrent.load(std::memory_order_acquire);
  }

  /** Replaces the value. Blocks until the readers' critical sections, which are
   * short, have ended. */
  auto Publish(std::shared_ptr<const T> aNext) -> void
  {
    auto lock = std::lock_guard(mWriteMutex);
    auto* next = new std::shared_ptr<const T>(std::move(aNext));
    auto* old = mCurrent.exchange(next, std::memory_order_acq_rel);
    WaitForReaders();
    delete old;
  }

private:
  std::atomic<std::shared_ptr<const T>*> mCurrent;
  std::mutex mWriteMutex;
};

} // namespace eelgrasspost::snapshot

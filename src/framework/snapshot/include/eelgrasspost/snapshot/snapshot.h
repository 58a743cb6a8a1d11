#pragma once

#include <atomic>
#include <memory>
#include <mutex>

namespace eelgrasspost::snapshot {

/** Marks a read section; registers the thread at its first use. */
class ReadSection
{
public:
  ReadSection();
  ~ReadSection();
  ReadSection(const ReadSection&) = delete;
  auto operator=(const ReadSection&) -> ReadSection& = delete;
};

/** Waits until every read section that was open at the call has closed. */
auto WaitForReaders() -> void;

/**
 * An immutable value that readers take without a lock and writers replace
 * whole. Read() copies a shared pointer inside a read section, so that the
 * value may be held across suspension points.
 */
template<typename T>
class Snapshot
{
public:
  explicit Snapshot(std::shared_ptr<const T> aFirst)
    : mCurrent(new std::shared_ptr<const T>(std::move(aFirst)))
  {
  }
  Snapshot(const Snapshot&) = delete;
  auto operator=(const Snapshot&) -> Snapshot& = delete;
  ~Snapshot() { delete mCurrent.load(); }

  auto Read() const -> std::shared_ptr<const T>
  {
    auto section = ReadSection();
    return *mCurrent.load(std::memory_order_acquire);
  }

  /** Publishes a value. Blocks for the readers' sections, which are short. */
  auto Publish(std::shared_ptr<const T> aNext) -> void
  {
    auto lock = std::lock_guard(mWriters);
    auto* next = new std::shared_ptr<const T>(std::move(aNext));
    auto* old = mCurrent.exchange(next, std::memory_order_acq_rel);
    WaitForReaders();
    delete old;
  }

private:
  std::atomic<std::shared_ptr<const T>*> mCurrent;
  std::mutex mWriters;
};

} // namespace eelgrasspost::snapshot

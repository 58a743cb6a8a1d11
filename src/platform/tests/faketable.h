#pragma once

#include <deque>
#include <map>
#include <mutex>

#include "eelgrasspost/platform/itable.h"
#include "eelgrasspost/platform/platformerrors.h"

namespace eelgrasspost::platform::tests {

/** Fault injected into one commit of a FakeTable. */
enum class CommitFault
{
  None,
  /** The commit is applied and its response is lost. */
  LostResponse,
  /** The commit is neither applied nor answered. */
  LostRequest,
  NotReached,
};

/** An in-memory table that follows the contract, with scripted faults. */
class FakeTable : public ITable
{
public:
  auto Read(TableUse /*aUse*/,
            std::string aKey,
            base::MonotonicTime /*aDeadline*/)
    -> net::Task<absl::StatusOr<std::optional<TableRow>>> override
  {
    const auto lock = std::lock_guard(mMutex);
    ++mReads;
    const auto it = mRows.find(aKey);
    if (it == mRows.end()) {
      co_return std::optional<TableRow>();
    }
    co_return std::optional(it->second);
  }

  auto Scan(TableUse /*aUse*/,
            std::string aPrefix,
            std::string aAfter,
            std::size_t aLimit,
            base::MonotonicTime /*aDeadline*/)
    -> net::Task<absl::StatusOr<std::vector<TableRow>>> override
  {
    const auto lock = std::lock_guard(mMutex);
    std::vector<TableRow> out;
    for (const auto& [key, row] : mRows) {
      const auto fits = key.starts_with(aPrefix) && key > aAfter;
      if (fits && out.size() < aLimit) {
        out.push_back(row);
      }
    }
    co_return out;
  }

  auto Commit(TableUse /*aUse*/,
              std::vector<TableWrite> aWrites,
              base::MonotonicTime /*aDeadline*/)
    -> net::Task<absl::Status> override
  {
    const auto lock = std::lock_guard(mMutex);
    ++mCommits;
    auto fault = CommitFault::None;
    if (!mFaults.empty()) {
      fault = mFaults.front();
      mFaults.pop_front();
    }
    if (fault == CommitFault::NotReached) {
      co_return base::MakeError(kNotReached, "scripted fault");
    }
    if (fault == CommitFault::LostRequest) {
      co_return base::MakeError(kNoResponse, "scripted fault");
    }
    for (const auto& it : aWrites) {
      const auto found = mRows.find(it.mKey);
      const auto version =
        found == mRows.end() ? kAbsent : found->second.mVersion;
      if (it.mExpectedVersion && *it.mExpectedVersion != version) {
        co_return base::MakeError(kVersionConflict, it.mKey);
      }
    }
    for (const auto& it : aWrites) {
      if (!it.mValue) {
        mRows.erase(it.mKey);
        continue;
      }
      auto& row = mRows[it.mKey];
      row = { it.mKey, *it.mValue, row.mVersion + 1 };
    }
    co_return fault == CommitFault::LostResponse
      ? base::MakeError(kNoResponse, "scripted fault")
      : absl::OkStatus();
  }

  std::map<std::string, TableRow> mRows;
  std::deque<CommitFault> mFaults;
  int mCommits = 0;
  int mReads = 0;

private:
  std::mutex mMutex;
};

} // namespace eelgrasspost::platform::tests

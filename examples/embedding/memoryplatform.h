#pragma once

#include <map>

#include <eelgrasspost/platform/iobjectstore.h>
#include <eelgrasspost/platform/itable.h>
#include <eelgrasspost/platform/ivmlist.h>
#include <eelgrasspost/platform/iworker.h>
#include <eelgrasspost/platform/platformerrors.h>

namespace embedding {

namespace base = eelgrasspost::base;
namespace net = eelgrasspost::net;
namespace platform = eelgrasspost::platform;

/** A transactional table in memory, for use by a single thread. In production,
 * implement ITable on a durable store. */
class MemoryTable : public platform::ITable
{
public:
  auto Read(platform::TableUse, std::string aKey, base::MonotonicTime)
    -> net::Task<absl::StatusOr<std::optional<platform::TableRow>>> override
  {
    const auto it = mRows.find(aKey);
    co_return it == mRows.end() ? std::optional<platform::TableRow>()
                                : std::optional(it->second);
  }

  auto Scan(platform::TableUse,
            std::string aPrefix,
            std::string aAfter,
            std::size_t aLimit,
            base::MonotonicTime)
    -> net::Task<absl::StatusOr<std::vector<platform::TableRow>>> override
  {
    std::vector<platform::TableRow> out;
    for (const auto& [key, row] : mRows) {
      if (key.starts_with(aPrefix) && key > aAfter && out.size() < aLimit) {
        out.push_back(row);
      }
    }
    co_return out;
  }

  auto Commit(platform::TableUse,
              std::vector<platform::TableWrite> aWrites,
              base::MonotonicTime) -> net::Task<absl::Status> override
  {
    for (const auto& it : aWrites) {
      const auto found = mRows.find(it.mKey);
      const auto version =
        found == mRows.end() ? platform::kAbsent : found->second.mVersion;
      if (it.mExpectedVersion && *it.mExpectedVersion != version) {
        co_return base::MakeError(platform::kVersionConflict, it.mKey);
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
    co_return absl::OkStatus();
  }

private:
  std::map<std::string, platform::TableRow> mRows;
};

/** An object store in memory, for use by a single thread. */
class MemoryObjects : public platform::IObjectStore
{
public:
  auto Put(std::string aKey, std::string aBytes, base::MonotonicTime)
    -> net::Task<absl::Status> override
  {
    mObjects[aKey] = std::move(aBytes);
    co_return absl::OkStatus();
  }
  auto Get(std::string aKey, base::MonotonicTime)
    -> net::Task<absl::StatusOr<std::optional<std::string>>> override
  {
    const auto it = mObjects.find(aKey);
    co_return it == mObjects.end() ? std::optional<std::string>()
                                   : std::optional(it->second);
  }

private:
  std::map<std::string, std::string> mObjects;
};

/** A VM list that does not change. */
class FixedVmList : public platform::IVmList
{
public:
  auto List(base::MonotonicTime)
    -> net::Task<absl::StatusOr<std::vector<platform::VmRecord>>> override
  {
    co_return mVms;
  }

  std::vector<platform::VmRecord> mVms;
};

/** A worker that checks fencing tokens but runs no tasks. */
class FencingWorker : public platform::IWorker
{
public:
  auto Claim(net::Address, platform::FencingToken aToken, base::MonotonicTime)
    -> net::Task<absl::StatusOr<platform::WorkerReport>> override
  {
    if (aToken < mReport.mHighestToken) {
      co_return base::MakeError(platform::kFenced,
                                "a newer claim has a higher fencing token");
    }
    mReport.mHighestToken = std::move(aToken);
    co_return mReport;
  }
  auto Report(net::Address, base::MonotonicTime)
    -> net::Task<absl::StatusOr<platform::WorkerReport>> override
  {
    co_return mReport;
  }
  auto Start(net::Address,
             platform::FencingToken,
             std::vector<platform::StartCommand>,
             base::MonotonicTime) -> net::Task<absl::Status> override
  {
    co_return absl::OkStatus();
  }
  auto Renew(net::Address,
             platform::FencingToken,
             std::vector<platform::AttemptRef>,
             base::Milliseconds,
             base::MonotonicTime) -> net::Task<absl::Status> override
  {
    co_return absl::OkStatus();
  }
  auto Stop(net::Address,
            platform::FencingToken,
            std::vector<platform::AttemptRef>,
            bool,
            base::MonotonicTime) -> net::Task<absl::Status> override
  {
    co_return absl::OkStatus();
  }
  auto Throttle(net::Address,
                platform::FencingToken,
                std::vector<platform::AttemptRef>,
                int,
                base::MonotonicTime) -> net::Task<absl::Status> override
  {
    co_return absl::OkStatus();
  }
  auto Forget(net::Address,
              platform::FencingToken,
              std::vector<platform::AttemptRef>,
              base::MonotonicTime) -> net::Task<absl::Status> override
  {
    co_return absl::OkStatus();
  }

private:
  platform::WorkerReport mReport{ "worker-incarnation-1", {} };
};

} // namespace embedding

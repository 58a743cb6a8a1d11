#pragma once

#include "eelgrasspost/net/http.h"
#include "eelgrasspost/platform/iobjectstore.h"
#include "eelgrasspost/platform/itable.h"
#include "eelgrasspost/platform/ivmlist.h"
#include "eelgrasspost/platform/iworker.h"

namespace eelgrasspost::platform {

class HttpTable : public ITable
{
public:
  HttpTable(net::HttpClient& aClient, net::Address aService);
  auto Read(TableUse aUse, std::string aKey, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::optional<TableRow>>> override;
  auto Scan(TableUse aUse,
            std::string aPrefix,
            std::string aAfter,
            std::size_t aLimit,
            base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::vector<TableRow>>> override;
  auto Commit(TableUse aUse,
              std::vector<TableWrite> aWrites,
              base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> override;

private:
  net::HttpClient& mClient;
  net::Address mService;
};

class HttpObjectStore : public IObjectStore
{
public:
  HttpObjectStore(net::HttpClient& aClient, net::Address aService);
  auto Put(std::string aKey, std::string aBytes, base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> override;
  auto Get(std::string aKey, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::optional<std::string>>> override;

private:
  net::HttpClient& mClient;
  net::Address mService;
};

class HttpVmList : public IVmList
{
public:
  HttpVmList(net::HttpClient& aClient, net::Address aService);
  auto List(base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::vector<VmRecord>>> override;

private:
  net::HttpClient& mClient;
  net::Address mService;
};

class HttpWorker : public IWorker
{
public:
  explicit HttpWorker(net::HttpClient& aClient);
  auto Claim(net::Address aWorker,
             FencingToken aToken,
             base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<WorkerReport>> override;
  auto Report(net::Address aWorker, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<WorkerReport>> override;
  auto Start(net::Address aWorker,
             FencingToken aToken,
             std::vector<StartCommand> aCommands,
             base::MonotonicTime aDeadline) -> net::Task<absl::Status> override;
  auto Renew(net::Address aWorker,
             FencingToken aToken,
             std::vector<AttemptRef> aAttempts,
             base::Milliseconds aLease,
             base::MonotonicTime aDeadline) -> net::Task<absl::Status> override;
  auto Stop(net::Address aWorker,
            FencingToken aToken,
            std::vector<AttemptRef> aAttempts,
            bool aCheckpoint,
            base::MonotonicTime aDeadline) -> net::Task<absl::Status> override;
  auto Throttle(net::Address aWorker,
                FencingToken aToken,
                std::vector<AttemptRef> aAttempts,
                int aPercent,
                base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> override;
  auto Forget(net::Address aWorker,
              FencingToken aToken,
              std::vector<AttemptRef> aAttempts,
              base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> override;

private:
  auto SendCommand(net::Address aWorker,
                   std::string aTarget,
                   base::json::object aBody,
                   base::MonotonicTime aDeadline) -> net::Task<absl::Status>;
  auto SendForReport(net::Address aWorker,
                     std::string aTarget,
                     base::json::object aBody,
                     base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<WorkerReport>>;

  net::HttpClient& mClient;
};

} // namespace eelgrasspost::platform

#pragma once

#include <memory>
#include <string>
#include <vector>

#include "childprocess.h"
#include "synchttp.h"

namespace eelgrasspost::harness {

/** Size of the system that a test starts. */
struct ClusterOptions
{
  int mDomains = 1;
  int mEntriesPerDomain = 2;
  int mWorkersPerDomain = 2;
  int mSlots = 8;
  /** Totals that take the place of the counts per domain; 0 leaves those. */
  int mEntries = 0;
  int mWorkers = 0;
  /** Entries reach workers without the proxy, for measurements. */
  bool mDirectWorkers = false;
  /** Added to the settings file of every entry. */
  std::string mExtraSettings;
};

struct EntryNode
{
  std::string mId;
  std::string mDomain;
  /** Source IP of its connections; faults may name it. */
  std::string mIp;
  /** Where other entries reach it: its link at the proxy. */
  net::Address mAdvertised;
  net::Address mHttp;
  std::unique_ptr<ChildProcess> mProcess;
};

struct WorkerNode
{
  std::string mId;
  std::string mDomain;
  net::Address mDirect;
  /** Its link at the proxy, which the entries use. */
  net::Address mProxied;
};

/**
 * Entries, workers and the platform as real processes. Every link between
 * them goes through the fault-injecting proxy; the links are named
 * "platform", "entry-N" and "worker-N".
 */
class Cluster
{
public:
  explicit Cluster(ClusterOptions aOptions = {});
  ~Cluster();

  /** Starts entry N (from 0) anew, with the same id and addresses. */
  auto StartEntry(std::size_t aIndex) -> void;
  /** Injects a fault into a link; fields as the proxy's /fault takes them. */
  auto Fault(const std::string& aLink, json::object aFault) -> void;
  auto Heal(const std::string& aLink, const std::string& aFrom = "*") -> void;
  /** Sets faults of the platform stand-in: down, delay_ms, lose_answers. */
  auto PlatformFault(const json::object& aFault) -> void;
  /** Changes a VM's state in the VM list: "live" or "leaving". */
  auto SetVmState(const std::string& aId, const std::string& aState) -> void;
  /** A release note that adds one service on all workers. */
  auto NoteAdding(const std::string& aService, bool aIdempotent)
    -> json::object;
  /** Submits a note through entry 0 and waits until all have it in force. */
  auto PutInForce(const json::object& aNote) -> void;
  /** What an entry's /status says. */
  auto Status(std::size_t aIndex) -> json::object;
  /** Waits until the entries of every domain own all its workers. */
  auto WaitForOwners(base::Milliseconds aTimeout = base::Milliseconds(10000))
    -> bool;
  /** Sends a caller's request to a service. */
  auto Call(std::size_t aEntry,
            const std::string& aTarget,
            std::vector<net::HttpField> aFields = {},
            const std::string& aBody = {}) -> net::HttpExchange;
  /** A worker's faults: leaving, fails_all, extra_request_ms and others. */
  auto WorkerFault(std::size_t aWorker, const json::object& aFault) -> void;
  /** Sums a counter of an entry over its labels. */
  auto Counter(std::size_t aEntry, const std::string& aName) -> std::int64_t;
  /** What a worker saw: most_requests, runs_by_request, starts. */
  auto Observed(std::size_t aWorker) -> json::object;

  auto Http() -> SyncHttp& { return mHttp; }
  auto Platform() const -> net::Address { return mPlatformDirect; }

  std::vector<EntryNode> mEntries;
  std::vector<WorkerNode> mWorkers;

private:
  auto StartPlatform() -> void;
  auto StartWorkers() -> void;
  auto PrepareEntries() -> void;
  auto AddLink(const std::string& aName, const net::Address& aUpstream)
    -> net::Address;
  auto PublishVms() -> void;
  auto WriteSettings(const EntryNode& aEntry) -> std::string;

  ClusterOptions mOptions;
  std::string mFolder;
  SyncHttp mHttp;
  std::unique_ptr<ChildProcess> mPlatform;
  std::unique_ptr<ChildProcess> mProxy;
  std::unique_ptr<ChildProcess> mWorkerProcess;
  net::Address mPlatformDirect;
  net::Address mPlatformProxied;
  net::Address mProxyControl;
  std::vector<json::object> mVms;
};

} // namespace eelgrasspost::harness

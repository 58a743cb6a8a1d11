#pragma once

#include <memory>
#include <string>
#include <vector>

#include "childprocess.h"
#include "synchttp.h"

namespace eelgrasspost::harness {

/** Size and settings of the cluster that a test starts. */
struct ClusterOptions
{
  int mDomains = 1;
  int mEntriesPerDomain = 2;
  int mWorkersPerDomain = 2;
  int mSlots = 8;
  /** Totals that override the counts per domain; 0 keeps those. */
  int mEntries = 0;
  int mWorkers = 0;
  /** Entries bypass the proxy to reach workers, so that benchmarks do not
   * measure the proxy. */
  bool mDirectWorkers = false;
  /** Appended to the settings file of every entry. */
  std::string mExtraSettings;
};

struct EntryNode
{
  std::string mId;
  std::string mDomain;
  /** Source IP of its connections; a link fault can be limited to it. */
  std::string mIp;
  /** Address of its proxy link, under which other entries reach it. */
  net::Address mAdvertised;
  net::Address mHttp;
  std::unique_ptr<ChildProcess> mProcess;
};

struct WorkerNode
{
  std::string mId;
  std::string mDomain;
  net::Address mDirect;
  /** Address of its proxy link, which the entries use. */
  net::Address mProxied;
};

/**
 * Runs entries, workers and the platform as real processes. All traffic between
 * them passes through the fault-injecting proxy, over links that are named
 * "platform", "entry-N" and "worker-N".
 */
class Cluster
{
public:
  explicit Cluster(ClusterOptions aOptions = {});
  ~Cluster();

  /** Starts an entry (counted from 0), or restarts it with the same id and
   * advertised address. */
  auto StartEntry(std::size_t aIndex) -> void;
  /** Injects a fault into a link; the fields are those of the proxy's /fault.
   */
  auto InjectFault(const std::string& aLink, json::object aFault) -> void;
  /** Clears the fault that a link has for a source IP. */
  auto ClearFault(const std::string& aLink, const std::string& aFrom = "*")
    -> void;
  /** Sets all faults of the platform stand-in: down, delay_ms, lose_answers. */
  auto SetPlatformFaults(const json::object& aFault) -> void;
  /** Changes a VM's state in the VM list: "live" or "leaving". */
  auto SetVmState(const std::string& aId, const std::string& aState) -> void;
  /** Makes a release note that adds one service with endpoints on all workers.
   */
  auto MakeServiceNote(const std::string& aService, bool aIdempotent)
    -> json::object;
  /** Submits a note through entry 0 and waits until all entries applied it. */
  auto ApplyNote(const json::object& aNote) -> void;
  /** Reads an entry's /status; empty if it does not respond. */
  auto Status(std::size_t aIndex) -> json::object;
  /** Waits until every worker is owned by an entry. */
  auto WaitForOwners(base::Milliseconds aTimeout = base::Milliseconds(10000))
    -> bool;
  /** Sends a caller's request to a service. */
  auto CallService(std::size_t aEntry,
                   const std::string& aTarget,
                   std::vector<net::HttpField> aFields = {},
                   const std::string& aBody = {}) -> net::HttpExchange;
  /** Sets faults of a worker: leaving, fails_all, extra_request_ms and others.
   */
  auto SetWorkerFaults(std::size_t aWorker, const json::object& aFault) -> void;
  /** Sums a counter of an entry over its labels. */
  auto ReadCounter(std::size_t aEntry, const std::string& aName)
    -> std::int64_t;
  /** Reads what a worker recorded: most_requests, runs_by_request, starts. */
  auto ReadObservation(std::size_t aWorker) -> json::object;

  auto Http() -> SyncHttp& { return mHttp; }
  auto Platform() const -> net::Address { return mPlatformDirect; }

  std::vector<EntryNode> mEntries;
  std::vector<WorkerNode> mWorkers;

private:
  auto StartPlatform() -> void;
  auto StartWorkers() -> void;
  auto RegisterEntries() -> void;
  auto AddLink(const std::string& aName, const net::Address& aUpstream)
    -> net::Address;
  auto PublishVmList() -> void;
  auto WriteSettings(const EntryNode& aEntry) -> std::string;

  ClusterOptions mOptions;
  std::string mFolder;
  SyncHttp mHttp;
  std::unique_ptr<ChildProcess> mPlatform;
  std::unique_ptr<ChildProcess> mProxy;
  std::unique_ptr<ChildProcess> mWorkerHost;
  net::Address mPlatformDirect;
  net::Address mPlatformProxied;
  net::Address mProxyControl;
  std::vector<json::object> mVms;
};

} // namespace eelgrasspost::harness

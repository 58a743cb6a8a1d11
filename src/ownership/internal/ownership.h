#pragma once

#include <map>
#include <memory>
#include <random>

#include "eelgrasspost/ownership/assignment.h"
#include "eelgrasspost/ownership/ownershipmodule.h"
#include "eelgrasspost/snapshot/snapshot.h"
#include "leasing.h"
#include "ownershipaudit.h"

namespace eelgrasspost::ownership {

class Ownership : public IOwnership
{
public:
  Ownership(OwnershipDependencies aDependencies, OwnershipOptions aOptions);

  auto View() const -> std::shared_ptr<const OwnershipView> override;
  auto Run() -> net::Task<void> override;
  auto HandOverAll(base::MonotonicTime aDeadline) -> net::Task<void> override;
  auto ReportLeaving(std::string_view aWorker) -> void override;
  auto AcceptHandOver(HandOverRequest aRequest)
    -> net::Task<HandOverReply> override;

private:
  using TrackedWorkerPtr = std::shared_ptr<TrackedWorker>;
  using TrackedWorkerList = std::vector<TrackedWorkerPtr>;

  auto PollVmList() -> net::Task<void>;
  auto ApplyVmList(const std::vector<platform::VmRecord>& aVms) -> void;
  /** Tracks the workers of this failure domain that are in the VM list. */
  auto UpdateTrackedWorkers() -> void;
  /** Recomputes the assignment if members or workers have changed. */
  auto UpdateAssignments() -> void;
  /** Starts the claims and renewals that are due. */
  auto CheckDueWorkers() -> net::Task<void>;
  auto CheckWorker(TrackedWorkerPtr aTracked) -> net::Task<void>;
  auto IsAssignedToSelf(const TrackedWorker& aTracked) const -> bool;
  auto NextCheckDelay(const TrackedWorker& aTracked) const
    -> base::Milliseconds;
  /** Marks held workers as leaving that a member or the VM list reports as
   * leaving, and announces those to the members. */
  auto PropagateLeavingWorkers() -> void;
  auto IsListedLeaving(const WorkerLease& aLease) -> bool;
  /** Hands over the held workers that are assigned to another entry. */
  auto StartHandOvers() -> net::Task<void>;
  auto HandOverTo(std::string aEntry, TrackedWorkerList aWorkers)
    -> net::Task<void>;
  /** Hands over all held workers, repeating until they are accepted. */
  auto HandOverWithRetries(base::MonotonicTime aDeadline) -> net::Task<void>;
  /** Hands over all held workers once, by the assignment without this entry. */
  auto HandOverOnce(base::MonotonicTime aDeadline) -> net::Task<void>;
  auto AcceptOnControlThread(HandOverRequest aRequest)
    -> net::Task<HandOverReply>;
  auto AcceptWorker(const HandOverRequest& aRequest, std::string aWorker)
    -> net::Task<bool>;
  auto Context() -> LeasingContext;
  auto HeldWorkers() const -> TrackedWorkerList;
  auto Publish() -> void;

  OwnershipDependencies mDependencies;
  OwnershipOptions mOptions;
  OwnershipMetrics mMetrics;
  OwnershipAudit mAudit;
  std::mt19937_64 mRandom;
  base::MonotonicTime mStartedAt;
  std::vector<platform::VmRecord> mWorkers;
  /** Incremented with each change of mWorkers. */
  std::uint64_t mWorkersVersion = 0;
  /** Members and workers from which mAssignments was computed. */
  std::string mAssignmentKey;
  std::vector<WorkerAssignment> mAssignments;
  std::map<std::string, TrackedWorkerPtr, std::less<>> mTrackedWorkers;
  /** Incarnation of each worker when the VM list first listed it as leaving. */
  std::map<std::string, std::string> mListedLeavingIncarnations;
  std::size_t mCallsInFlight = 0;
  bool mIsStopping = false;
  snapshot::Snapshot<OwnershipView> mView;
};

} // namespace eelgrasspost::ownership

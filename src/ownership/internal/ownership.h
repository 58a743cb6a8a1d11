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
  /** Makes workers of the workers of this failure domain. */
  auto UpdateTrackedWorkers() -> void;
  /** Computes the assignment anew when members or workers have changed. */
  auto UpdateAssignments() -> void;
  /** Starts what is due: claims, renewals, hand-overs. */
  auto CheckDueWorkers() -> net::Task<void>;
  auto CheckWorker(TrackedWorkerPtr aTracked) -> net::Task<void>;
  auto IsAssignedToSelf(const TrackedWorker& aTracked) const -> bool;
  auto NextCheckDelay(const TrackedWorker& aTracked) const
    -> base::Milliseconds;
  /** Marks held workers that anyone has said to be leaving. */
  auto PropagateLeavingWorkers() -> void;
  auto IsListedLeaving(const WorkerLease& aLease) -> bool;
  /** Hands on the held workers that another entry should own. */
  auto StartHandOvers() -> net::Task<void>;
  auto HandOverTo(std::string aEntry, TrackedWorkerList aWorkers)
    -> net::Task<void>;
  /** Offers all held workers until they are taken. */
  auto HandOverWithRetries(base::MonotonicTime aDeadline) -> net::Task<void>;
  /** Offers all held workers once, as if this entry were gone. */
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
  /** Grows with each change of the list of workers. */
  std::uint64_t mWorkersVersion = 0;
  /** Members and workers that the assignment was computed from. */
  std::string mAssignmentKey;
  std::vector<WorkerAssignment> mAssignments;
  std::map<std::string, TrackedWorkerPtr, std::less<>> mTrackedWorkers;
  /** Incarnation that a worker had when the VM list first called it leaving. */
  std::map<std::string, std::string> mListedLeavingIncarnations;
  std::size_t mCallsInFlight = 0;
  bool mIsStopping = false;
  snapshot::Snapshot<OwnershipView> mView;
};

} // namespace eelgrasspost::ownership

#pragma once

#include <set>

#include "eelgrasspost/ownership/ownershipmodule.h"
#include "eelgrasspost/snapshot/snapshot.h"

namespace eelgrasspost::ownership {

class Ownership : public IOwnership
{
public:
  Ownership(OwnershipParts aParts, OwnershipOptions aOptions);

  auto View() const -> std::shared_ptr<const OwnershipView> override;
  auto Run() -> net::Task<void> override;
  auto HandOver(base::MonotonicTime aDeadline) -> net::Task<void> override;
  auto ReportLeaving(std::string_view aWorker) -> void override;
  auto TakeOver(HandOverRequest aRequest) -> net::Task<HandOverReply> override;

private:
  auto PollVmList() -> net::Task<void>;
  /** Claims or renews one worker that this entry should own. */
  auto Tend(platform::VmRecord aWorker) -> net::Task<void>;
  auto Claim(platform::VmRecord aWorker) -> net::Task<void>;
  auto Renew(WorkerHoldPtr aHold) -> net::Task<void>;
  /** Gives up the workers that another entry should own. */
  auto DropReassigned(const std::vector<WorkerAssignment>& aAssignments)
    -> void;
  auto Drop(const WorkerHoldPtr& aHold) -> void;
  auto TakeReport(const WorkerHoldPtr& aHold,
                  const platform::WorkerReport& aReport) -> void;
  auto Publish() -> void;

  OwnershipParts mParts;
  OwnershipOptions mOptions;
  std::vector<platform::VmRecord> mWorkers;
  std::vector<WorkerHoldPtr> mHeld;
  /** Workers with a call under way. */
  std::set<std::string> mBusy;
  bool mIsStopping = false;
  snapshot::Snapshot<OwnershipView> mView;
};

} // namespace eelgrasspost::ownership

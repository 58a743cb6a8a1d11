#pragma once

#include <map>
#include <memory>
#include <random>

#include "eelgrasspost/ownership/assignment.h"
#include "eelgrasspost/ownership/ownershipmodule.h"
#include "eelgrasspost/snapshot/snapshot.h"
#include "ownershipaudit.h"
#include "tender.h"

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
  using TenderPtr = std::shared_ptr<Tender>;
  using TenderList = std::vector<TenderPtr>;

  auto PollVmList() -> net::Task<void>;
  auto TakeVmList(const std::vector<platform::VmRecord>& aVms) -> void;
  /** Makes tenders of the workers of this failure domain. */
  auto RefreshTenders() -> void;
  /** Computes the assignment anew when members or workers have changed. */
  auto RefreshAssignments() -> void;
  /** Starts what is due: claims, renewals, hand-overs. */
  auto TendAll() -> net::Task<void>;
  auto Tend(TenderPtr aTender) -> net::Task<void>;
  auto IsOurs(const Tender& aTender) const -> bool;
  auto NextDue(const Tender& aTender) const -> base::Milliseconds;
  /** Marks held workers that anyone has said to be leaving. */
  auto SpreadLeaving() -> void;
  auto IsListedLeaving(const WorkerHold& aHold) -> bool;
  /** Hands on the held workers that another entry should own. */
  auto StartHandOvers() -> net::Task<void>;
  auto HandTo(std::string aEntry, TenderList aTenders) -> net::Task<void>;
  /** Offers all held workers until they are taken. */
  auto OfferAll(base::MonotonicTime aDeadline) -> net::Task<void>;
  /** Offers all held workers once, as if this entry were gone. */
  auto HandOverStep(base::MonotonicTime aDeadline) -> net::Task<void>;
  auto TakeOverHere(HandOverRequest aRequest) -> net::Task<HandOverReply>;
  auto TakeOne(const HandOverRequest& aRequest, std::string aWorker)
    -> net::Task<bool>;
  auto Context() -> TenderContext;
  auto HeldTenders() const -> TenderList;
  auto Publish() -> void;

  OwnershipParts mParts;
  OwnershipOptions mOptions;
  TenderMetrics mMetrics;
  OwnershipAudit mAudit;
  std::mt19937_64 mRandom;
  base::MonotonicTime mStartedAt;
  std::vector<platform::VmRecord> mWorkers;
  /** Grows with each change of the list of workers. */
  std::uint64_t mWorkersVersion = 0;
  /** Members and workers that the assignment was computed from. */
  std::string mAssignedFor;
  std::vector<WorkerAssignment> mAssignments;
  std::map<std::string, TenderPtr, std::less<>> mTenders;
  /** Incarnation that a worker had when the VM list first called it leaving. */
  std::map<std::string, std::string> mListedLeaving;
  std::size_t mCallsUnderWay = 0;
  bool mIsStopping = false;
  snapshot::Snapshot<OwnershipView> mView;
};

} // namespace eelgrasspost::ownership

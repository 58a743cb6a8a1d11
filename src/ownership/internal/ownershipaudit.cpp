#include "ownershipaudit.h"

#include "eelgrasspost/audit/auditrecord.h"
#include "eelgrasspost/base/errors.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/net/iopool.h"
#include "eelgrasspost/platform/platformerrors.h"

namespace eelgrasspost::ownership {

namespace {

constexpr auto kFlushInterval = base::Milliseconds(2000);
constexpr auto kCommitTimeout = base::Milliseconds(2000);
constexpr std::size_t kMaxPending = 1000;
constexpr std::size_t kBatchSize = 100;

auto HasLease(const OwnershipView& aView, const WorkerLeasePtr& aLease) -> bool
{
  return aView.FindLease(aLease->mWorker.mId) == aLease;
}

} // namespace

OwnershipAudit::OwnershipAudit(platform::ITable& aTable, std::string aActor)
  : mTable(aTable)
  , mActor(std::move(aActor))
{
}

auto OwnershipAudit::Record(audit::AuditObjectKind aKind,
                            std::string_view aAction,
                            std::string_view aObject,
                            std::string_view aBefore,
                            std::string_view aAfter) -> void
{
  audit::AuditRecord record;
  record.mKind = aKind;
  record.mActor = mActor;
  record.mAction = aAction;
  record.mObject = aObject;
  record.mTimestampMs = base::WallClockMs();
  record.mBefore = aBefore;
  record.mAfter = aAfter;
  if (mDropped > 0) {
    base::Append(record.mAfter, " (", mDropped, " earlier records lost)");
    mDropped = 0;
  }
  mPending.push_back(
    audit::AuditWrite(record, base::Cat(mActor, "-", ++mSequence)));
  if (mPending.size() > kMaxPending) {
    mPending.pop_front();
    ++mDropped;
  }
}

auto OwnershipAudit::RecordChanges(const OwnershipView& aBefore,
                                   const OwnershipView& aAfter) -> void
{
  for (const auto& it : aBefore.mLeases) {
    if (!HasLease(aAfter, it)) {
      const auto token = platform::ToString(it->Token());
      Record(audit::AuditObjectKind::Ownership,
             "release",
             it->mWorker.mId,
             token,
             "");
    }
  }
  for (const auto& it : aAfter.mLeases) {
    if (!HasLease(aBefore, it)) {
      const auto token = platform::ToString(it->Token());
      Record(
        audit::AuditObjectKind::Ownership, "claim", it->mWorker.mId, "", token);
    }
  }
}

auto OwnershipAudit::RecordPlannedStop() -> void
{
  Record(
    audit::AuditObjectKind::PlannedStop, "stop", mActor, "serving", "stopping");
}

auto OwnershipAudit::Flush(base::MonotonicTime aDeadline) -> net::Task<void>
{
  if (mIsFlushing) {
    co_return;
  }
  while (mBatch.size() < kBatchSize && !mPending.empty()) {
    mBatch.push_back(std::move(mPending.front()));
    mPending.pop_front();
  }
  if (mBatch.empty()) {
    co_return;
  }
  mIsFlushing = true;
  const auto status =
    co_await mTable.Commit(platform::TableUse::Ownership, mBatch, aDeadline);
  // A conflict means that an earlier commit of this batch has taken effect.
  if (status.ok() || base::IsKind(status, platform::kVersionConflict)) {
    mBatch.clear();
  }
  mIsFlushing = false;
}

auto OwnershipAudit::FlushAll(base::MonotonicTime aDeadline) -> net::Task<void>
{
  constexpr auto kRetry = base::Milliseconds(50);
  while (base::MonotonicClock::now() < aDeadline &&
         (mIsFlushing || !mBatch.empty() || !mPending.empty())) {
    co_await Flush(aDeadline);
    if (mIsFlushing || !mBatch.empty()) {
      co_await net::Sleep(kRetry);
    }
  }
}

auto OwnershipAudit::Run() -> net::Task<void>
{
  while (true) {
    co_await net::Sleep(kFlushInterval);
    co_await Flush(base::MonotonicClock::now() + kCommitTimeout);
  }
}

} // namespace eelgrasspost::ownership

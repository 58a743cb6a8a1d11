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
constexpr std::size_t kMostWaiting = 1000;
constexpr std::size_t kGroupSize = 100;

auto HasHold(const OwnershipView& aView, const WorkerHoldPtr& aHold) -> bool
{
  return aView.FindHeld(aHold->mWorker.mId) == aHold;
}

} // namespace

OwnershipAudit::OwnershipAudit(platform::ITable& aTable, std::string aActor)
  : mTable(aTable)
  , mActor(std::move(aActor))
{
}

auto OwnershipAudit::Note(audit::AuditSort aSort,
                          std::string_view aAction,
                          std::string_view aObject,
                          std::string_view aBefore,
                          std::string_view aAfter) -> void
{
  audit::AuditRecord record;
  record.mSort = aSort;
  record.mActor = mActor;
  record.mAction = aAction;
  record.mObject = aObject;
  record.mWhenMs = base::WallClockMs();
  record.mBefore = aBefore;
  record.mAfter = aAfter;
  if (mLost > 0) {
    base::Append(record.mAfter, " (", mLost, " earlier records lost)");
    mLost = 0;
  }
  mWaiting.push_back(
    audit::AuditWrite(record, base::Cat(mActor, "-", ++mNumber)));
  if (mWaiting.size() > kMostWaiting) {
    mWaiting.pop_front();
    ++mLost;
  }
}

auto OwnershipAudit::NoteChanges(const OwnershipView& aBefore,
                                 const OwnershipView& aAfter) -> void
{
  for (const auto& it : aBefore.mHeld) {
    if (!HasHold(aAfter, it)) {
      const auto token = platform::ToString(it->Token());
      Note(audit::AuditSort::Ownership, "release", it->mWorker.mId, token, "");
    }
  }
  for (const auto& it : aAfter.mHeld) {
    if (!HasHold(aBefore, it)) {
      const auto token = platform::ToString(it->Token());
      Note(audit::AuditSort::Ownership, "claim", it->mWorker.mId, "", token);
    }
  }
}

auto OwnershipAudit::NotePlannedStop() -> void
{
  Note(audit::AuditSort::PlannedStop, "stop", mActor, "serving", "stopping");
}

auto OwnershipAudit::Flush(base::MonotonicTime aDeadline) -> net::Task<void>
{
  if (mIsFlushing) {
    co_return;
  }
  while (mGroup.size() < kGroupSize && !mWaiting.empty()) {
    mGroup.push_back(std::move(mWaiting.front()));
    mWaiting.pop_front();
  }
  if (mGroup.empty()) {
    co_return;
  }
  mIsFlushing = true;
  const auto status =
    co_await mTable.Commit(platform::TableUse::Ownership, mGroup, aDeadline);
  // A conflict means that an earlier commit of this group took effect.
  if (status.ok() || base::IsKind(status, platform::kVersionConflict)) {
    mGroup.clear();
  }
  mIsFlushing = false;
}

auto OwnershipAudit::FlushAll(base::MonotonicTime aDeadline) -> net::Task<void>
{
  constexpr auto kRetry = base::Milliseconds(50);
  while (base::MonotonicClock::now() < aDeadline &&
         (mIsFlushing || !mGroup.empty() || !mWaiting.empty())) {
    co_await Flush(aDeadline);
    if (mIsFlushing || !mGroup.empty()) {
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

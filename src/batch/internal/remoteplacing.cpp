#include <algorithm>

#include <boost/asio/this_coro.hpp>

#include "dispatcher.h"
#include "keys.h"

namespace eelgrasspost::batch {

namespace {

/** Tasks that one call offers to another entry, at most. */
constexpr std::size_t kItemsPerCall = 128;

/** Entries that own workers, other than this one, in order. */
auto OtherOwners(const ownership::OwnershipView& aView,
                 const std::string& aSelf) -> std::vector<std::string>
{
  std::set<std::string> out;
  for (const auto& it : aView.mAssignments) {
    if (!it.mEntry.empty() && it.mEntry != aSelf) {
      out.insert(it.mEntry);
    }
  }
  return { out.begin(), out.end() };
}

auto SendVerdicts(net::MessageClient& aMessages,
                  net::Address aEntry,
                  PlaceRequest aRequest,
                  base::MonotonicTime aDeadline) -> net::Task<void>
{
  (void)co_await net::CallTyped<PlaceReply>(aMessages,
                                            aEntry,
                                            net::MessageKind::PlaceTasks,
                                            std::move(aRequest),
                                            aDeadline);
}

} // namespace

auto Dispatcher::NextOwner() -> const membership::Member*
{
  const auto view = mParts.mOwnership.View();
  const auto owners = OtherOwners(*view, mParts.mMembership.Self().mId);
  if (owners.empty()) {
    return nullptr;
  }
  mMembersAsked = mParts.mMembership.View();
  return mMembersAsked->Find(owners[mOwnersAsked++ % owners.size()]);
}

auto Dispatcher::PlaceElsewhere(std::vector<TaskSlot> aPending)
  -> net::Task<void>
{
  const auto* owner = aPending.empty() ? nullptr : NextOwner();
  if (owner == nullptr) {
    co_return;
  }
  const auto address = owner->mIdentity.mControl;
  aPending.resize(std::min(aPending.size(), kItemsPerCall));
  PlaceRequest request;
  for (const auto& it : aPending) {
    const auto& block = mBlocks[it.mKey];
    const auto& task = block.mBlock.mTasks[it.mSlot];
    request.mItems.push_back({ NameOf(block, it.mSlot),
                               task.mAttempt + 1,
                               block.mBlock.mSpec.mResources,
                               task.mCheckpoint,
                               block.mBlock.mSpec.mCommand,
                               task.mFailedOn,
                               task.mUsedMs,
                               block.mBlock.mSpec.mDeclaredRunMs,
                               block.mVersion });
  }
  const auto deadline =
    base::MonotonicClock::now() + mOptions.mOtherReportTimeout;
  const auto reply =
    co_await net::CallTyped<PlaceReply>(mParts.mMessages,
                                        address,
                                        net::MessageKind::PlaceTasks,
                                        std::move(request),
                                        deadline);
  if (!reply.mStatus.ok()) {
    co_return;
  }
  for (const auto& it : reply.mReply.mPlaced) {
    TakePlaced(it, address);
  }
}

auto Dispatcher::TakePlaced(const PlacedItem& aPlaced,
                            const net::Address& aOwner) -> void
{
  const auto place = ParseTaskName(aPlaced.mTask);
  const auto it =
    place ? mBlocks.find(BlockKey(place->mJob, place->mBlock)) : mBlocks.end();
  if (it == mBlocks.end() || place->mSlot >= it->second.mBlock.mTasks.size()) {
    return;
  }
  auto& task = it->second.mBlock.mTasks[place->mSlot];
  if (ApplyStart(task, aPlaced.mWorker, aPlaced.mToken, aPlaced.mIncarnation)) {
    it->second.mIsDirty = true;
    mPlannedElsewhere.push_back(
      { aOwner, { aPlaced.mTask, task.mAttempt, aPlaced.mWorker, false } });
  }
}

auto Dispatcher::TellOwners(bool aIsWritten) -> net::Task<void>
{
  const auto executor = co_await net::asio::this_coro::executor;
  std::map<net::Address, PlaceRequest> requests;
  for (auto& it : mPlannedElsewhere) {
    it.mVerdict.mIsWritten = aIsWritten;
    requests[it.mOwner].mVerdicts.push_back(it.mVerdict);
  }
  mPlannedElsewhere.clear();
  const auto deadline = base::MonotonicClock::now() + mOptions.mCallTimeout;
  for (auto& [address, request] : requests) {
    net::SpawnTask(
      executor,
      SendVerdicts(mParts.mMessages, address, std::move(request), deadline));
  }
}

} // namespace eelgrasspost::batch

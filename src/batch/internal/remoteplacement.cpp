#include <algorithm>

#include <boost/asio/this_coro.hpp>

#include "dispatcher.h"
#include "keys.h"

namespace eelgrasspost::batch {

namespace {

/** Maximum number of tasks in one request to another entry. */
constexpr std::size_t kMaxItemsPerCall = 128;

/** Ids of the other entries that own workers, in order. */
auto RemoteOwners(const ownership::OwnershipView& aView,
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

auto SendOutcomes(net::MessageClient& aMessages,
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

auto Dispatcher::NextRemoteOwner() -> const membership::Member*
{
  const auto view = mDependencies.mOwnership.View();
  const auto owners = RemoteOwners(*view, mDependencies.mMembership.Self().mId);
  if (owners.empty()) {
    return nullptr;
  }
  mMemberView = mDependencies.mMembership.View();
  return mMemberView->Find(owners[mNextOwner++ % owners.size()]);
}

auto Dispatcher::PlaceRemotely(std::vector<TaskSlot> aPending)
  -> net::Task<void>
{
  const auto* owner = aPending.empty() ? nullptr : NextRemoteOwner();
  if (owner == nullptr) {
    co_return;
  }
  const auto address = owner->mIdentity.mControl;
  aPending.resize(std::min(aPending.size(), kMaxItemsPerCall));
  PlaceRequest request;
  for (const auto& it : aPending) {
    const auto& block = mBlocks[it.mKey];
    const auto& task = block.mBlock.mTasks[it.mSlot];
    request.mItems.push_back({ TaskNameOf(block, it.mSlot),
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
    base::MonotonicClock::now() + mOptions.mRemoteCallTimeout;
  const auto reply =
    co_await net::CallTyped<PlaceReply>(mDependencies.mMessages,
                                        address,
                                        net::MessageKind::PlaceTasks,
                                        std::move(request),
                                        deadline);
  if (!reply.mStatus.ok()) {
    co_return;
  }
  for (const auto& it : reply.mReply.mPlaced) {
    ApplyRemotePlacement(it, address);
  }
}

auto Dispatcher::ApplyRemotePlacement(const PlacedItem& aPlaced,
                                      const net::Address& aOwner) -> void
{
  const auto position = ParseTaskName(aPlaced.mTask);
  const auto it = position
                    ? mBlocks.find(BlockKey(position->mJob, position->mBlock))
                    : mBlocks.end();
  if (it == mBlocks.end() ||
      position->mSlot >= it->second.mBlock.mTasks.size()) {
    return;
  }
  auto& task = it->second.mBlock.mTasks[position->mSlot];
  if (ApplyStart(task, aPlaced.mWorker, aPlaced.mToken, aPlaced.mIncarnation)) {
    it->second.mIsDirty = true;
    mPlannedRemoteStarts.push_back(
      { aOwner, { aPlaced.mTask, task.mAttempt, aPlaced.mWorker, false } });
  }
}

auto Dispatcher::NotifyOwners(bool aIsWritten) -> net::Task<void>
{
  const auto executor = co_await net::asio::this_coro::executor;
  std::map<net::Address, PlaceRequest> requests;
  for (auto& it : mPlannedRemoteStarts) {
    it.mOutcome.mIsWritten = aIsWritten;
    requests[it.mOwner].mOutcomes.push_back(it.mOutcome);
  }
  mPlannedRemoteStarts.clear();
  const auto deadline = base::MonotonicClock::now() + mOptions.mCallTimeout;
  for (auto& [address, request] : requests) {
    net::SpawnTask(
      executor,
      SendOutcomes(
        mDependencies.mMessages, address, std::move(request), deadline));
  }
}

} // namespace eelgrasspost::batch

#include "eelgrasspost/platform/commitbatcher.h"

#include <deque>
#include <functional>
#include <mutex>
#include <set>

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "eelgrasspost/net/iopool.h"
#include "eelgrasspost/platform/platformerrors.h"

namespace eelgrasspost::platform {

namespace asio = net::asio;

namespace {

struct Waiting
{
  std::vector<TableWrite> mWrites;
  base::MonotonicTime mDeadline;
  std::function<void(absl::Status)> mDone;
};

using Group = std::vector<Waiting>;

struct Core
{
  Core(ITable& aTable,
       TableUse aUse,
       asio::any_io_executor aExecutor,
       GroupCommitOptions aOptions)
    : mTable(aTable)
    , mUse(aUse)
    , mExecutor(std::move(aExecutor))
    , mOptions(aOptions)
  {
  }

  ITable& mTable;
  TableUse mUse;
  asio::any_io_executor mExecutor;
  GroupCommitOptions mOptions;
  std::mutex mMutex;
  std::deque<Waiting> mQueue;
  bool mIsSending = false;
};

using CorePtr = std::shared_ptr<Core>;

/** Takes waiting transactions whose rows are disjoint, in their order. */
auto TakeGroup(Core& aCore) -> Group
{
  const auto lock = std::lock_guard(aCore.mMutex);
  Group group;
  std::set<std::string> keys;
  std::deque<Waiting> rest;
  for (auto& it : aCore.mQueue) {
    auto fits = group.empty() ||
                keys.size() + it.mWrites.size() <= aCore.mOptions.mMostRows;
    for (const auto& write : it.mWrites) {
      fits = fits && !keys.contains(write.mKey);
    }
    // A later one with the same rows must not overtake.
    for (const auto& write : it.mWrites) {
      keys.insert(write.mKey);
    }
    if (fits) {
      group.push_back(std::move(it));
    } else {
      rest.push_back(std::move(it));
    }
  }
  aCore.mQueue = std::move(rest);
  if (group.empty()) {
    aCore.mIsSending = false;
  }
  return group;
}

auto AllWrites(const Group& aGroup) -> std::vector<TableWrite>
{
  std::vector<TableWrite> out;
  for (const auto& it : aGroup) {
    out.insert(out.end(), it.mWrites.begin(), it.mWrites.end());
  }
  return out;
}

auto SendGroup(CorePtr aCore, Group aGroup) -> net::Task<void>
{
  const auto deadline = base::MonotonicClock::now() + aCore->mOptions.mTimeout;
  const auto status =
    co_await aCore->mTable.Commit(aCore->mUse, AllWrites(aGroup), deadline);
  const auto isSplit =
    aGroup.size() > 1 && base::IsKind(status, kVersionConflict);
  if (!isSplit) {
    for (const auto& it : aGroup) {
      it.mDone(status);
    }
    co_return;
  }
  const auto middle = static_cast<std::ptrdiff_t>(aGroup.size() / 2);
  auto second = Group(std::make_move_iterator(aGroup.begin() + middle),
                      std::make_move_iterator(aGroup.end()));
  aGroup.resize(aGroup.size() / 2);
  co_await SendGroup(aCore, std::move(aGroup));
  co_await SendGroup(aCore, std::move(second));
}

auto RefuseLate(Group& aGroup) -> void
{
  const auto now = base::MonotonicClock::now();
  std::erase_if(aGroup, [&](const Waiting& aWaiting) {
    const auto isLate = aWaiting.mDeadline <= now;
    if (isLate) {
      aWaiting.mDone(base::MakeError(
        kStoreBusy, "the deadline passed before the group was sent"));
    }
    return isLate;
  });
}

auto SendLoop(CorePtr aCore) -> net::Task<void>
{
  while (true) {
    co_await net::Sleep(aCore->mOptions.mWindow);
    auto group = TakeGroup(*aCore);
    if (group.empty()) {
      co_return;
    }
    RefuseLate(group);
    if (!group.empty()) {
      co_await SendGroup(aCore, std::move(group));
    }
  }
}

class GroupCommitter : public IGroupCommitter
{
public:
  explicit GroupCommitter(CorePtr aCore)
    : mCore(std::move(aCore))
  {
  }

  auto Commit(std::vector<TableWrite> aWrites, base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> override
  {
    auto start = [&](auto aHandler) {
      auto handler = std::make_shared<decltype(aHandler)>(std::move(aHandler));
      auto done = [handler](absl::Status aStatus) {
        asio::post(asio::get_associated_executor(*handler),
                   [handler, status = std::move(aStatus)]() mutable {
                     (*handler)(std::move(status));
                   });
      };
      Enqueue({ std::move(aWrites), aDeadline, std::move(done) });
    };
    co_return co_await asio::async_initiate<decltype(asio::use_awaitable),
                                            void(absl::Status)>(
      start, asio::use_awaitable);
  }

private:
  auto Enqueue(Waiting aWaiting) -> void
  {
    const auto lock = std::lock_guard(mCore->mMutex);
    mCore->mQueue.push_back(std::move(aWaiting));
    if (!mCore->mIsSending) {
      mCore->mIsSending = true;
      net::SpawnTask(mCore->mExecutor, SendLoop(mCore));
    }
  }

  CorePtr mCore;
};

} // namespace

auto MakeGroupCommitter(ITable& aTable,
                        TableUse aUse,
                        asio::any_io_executor aExecutor,
                        GroupCommitOptions aOptions)
  -> std::unique_ptr<IGroupCommitter>
{
  return std::make_unique<GroupCommitter>(
    std::make_shared<Core>(aTable, aUse, std::move(aExecutor), aOptions));
}

} // namespace eelgrasspost::platform

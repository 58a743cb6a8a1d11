#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/net/iopool.h"
#include "eelgrasspost/releasenote/notecodec.h"
#include "eelgrasspost/releasenote/releasenoteerrors.h"
#include "eelgrasspost/releasenote/releasenotelogevents.h"
#include "releasenotes.h"

namespace eelgrasspost::releasenote {

namespace asio = net::asio;
using membership::MemberState;

namespace {

/** A starting entry waits this long to learn its peers' revisions, so that it
 * pulls from one with the newest. */
constexpr auto kInitialPullDelay = base::Milliseconds(600);
constexpr auto kPullTimeout = base::Milliseconds(1500);

} // namespace

auto ReleaseNotes::ChoosePeer() -> std::optional<net::Address>
{
  const auto view = mDependencies.mMembership.View();
  const auto& self = mDependencies.mMembership.Self();
  const auto isKnown = mCache.Newest() != nullptr;
  std::vector<const membership::Member*> best;
  for (const auto& it : view->mMembers) {
    const auto isOther = it.mIdentity.mId != self.mId;
    const auto isReachable = it.mState != MemberState::Dead;
    const auto isAhead = !isKnown || it.mLoad.mRevision > Revision();
    if (!isOther || !isReachable || !isAhead) {
      continue;
    }
    const auto rank = [&](const membership::Member& aMember) {
      return std::pair(isKnown ? 0 : aMember.mLoad.mRevision,
                       aMember.mIdentity.mFailureDomain == self.mFailureDomain);
    };
    if (!best.empty() && rank(it) > rank(*best.front())) {
      best.clear();
    }
    if (best.empty() || rank(it) == rank(*best.front())) {
      best.push_back(&it);
    }
  }
  if (best.empty()) {
    return std::nullopt;
  }
  return best[mRandom() % best.size()]->mIdentity.mControl;
}

auto ReleaseNotes::PullLoop() -> net::Task<void>
{
  co_await net::Sleep(kInitialPullDelay);
  while (true) {
    const auto peer = ChoosePeer();
    if (peer) {
      co_await PullFrom(*peer);
    }
    co_await net::Sleep(mOptions.mPullInterval);
  }
}

auto ReleaseNotes::PullFrom(net::Address aPeer) -> net::Task<void>
{
  const auto request =
    PullRequest{ mCache.Newest() != nullptr, Revision(), 0, 0 };
  const auto deadline = base::MonotonicClock::now() + kPullTimeout;
  auto reply =
    co_await net::CallTyped<PullReply>(mDependencies.mMessages,
                                       aPeer,
                                       net::MessageKind::ReleaseNotePull,
                                       request,
                                       deadline);
  mDependencies.mMetrics.FindCounter("note_pulls_total").Add();
  if (!reply.mStatus.ok() || !reply.mReply.mHasState) {
    co_return;
  }
  for (auto& it : reply.mReply.mRevisions) {
    mDependencies.mMetrics.FindCounter("note_pulled_bytes_total")
      .Add(it.size());
    if (!AddRevision(std::move(it)).ok()) {
      co_return;
    }
  }
  if (reply.mReply.mChunkCount > 0) {
    co_await PullChunks(std::move(aPeer), std::move(reply.mReply));
  } else if (!mCache.Newest() && reply.mReply.mNewestRevision == 0) {
    AddState(ReleaseState{});
  }
}

auto ReleaseNotes::PullChunks(net::Address aPeer, PullReply aFirst)
  -> net::Task<void>
{
  ReleaseState state;
  auto status = AddStateChunk(state, aFirst.mChunk);
  for (std::uint32_t i = 1; status.ok() && i < aFirst.mChunkCount; ++i) {
    const auto request = PullRequest{
      mCache.Newest() != nullptr, Revision(), aFirst.mStateRevision, i
    };
    const auto deadline = base::MonotonicClock::now() + kPullTimeout;
    const auto reply =
      co_await net::CallTyped<PullReply>(mDependencies.mMessages,
                                         aPeer,
                                         net::MessageKind::ReleaseNotePull,
                                         request,
                                         deadline);
    const auto isSame = reply.mStatus.ok() &&
                        reply.mReply.mStateRevision == aFirst.mStateRevision;
    if (!isSame) {
      co_return;
    }
    mDependencies.mMetrics.FindCounter("note_pulled_bytes_total")
      .Add(reply.mReply.mChunk.size());
    status = AddStateChunk(state, reply.mReply.mChunk);
  }
  if (status.ok() && state.mDigest != aFirst.mStateDigest) {
    status = base::MakeError(kBadState,
                             "the state from a peer does not match its digest");
  }
  if (!status.ok()) {
    base::Log(kStateRejected, base::MessageOf(status));
    co_return;
  }
  state.mRevision = aFirst.mStateRevision;
  AddState(std::move(state));
}

auto RegisterPullHandler(net::MessageServer& aServer,
                         net::asio::any_io_executor aExecutor,
                         IReleaseNotes& aNotes) -> void
{
  net::RegisterTypedHandler<PullRequest, PullReply>(
    aServer,
    net::MessageKind::ReleaseNotePull,
    [executor = std::move(aExecutor),
     &aNotes](PullRequest aRequest) -> net::Task<PullReply> {
      auto answer = [&]() -> net::Task<PullReply> {
        co_return aNotes.HandlePull(aRequest);
      };
      co_return co_await asio::co_spawn(
        executor, answer(), asio::use_awaitable);
    });
}

} // namespace eelgrasspost::releasenote

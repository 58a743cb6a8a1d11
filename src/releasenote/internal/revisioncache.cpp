#include "revisioncache.h"

#include <algorithm>

#include "eelgrasspost/releasenote/notecodec.h"

namespace eelgrasspost::releasenote {

namespace {

/** What is kept for peers that are behind. */
constexpr std::size_t kRevisionsKept = 1024;
constexpr std::size_t kBytesKept = 8 * 1024 * 1024;
constexpr std::size_t kStatesKept = 64;
/** Most bytes of revisions in one reply, beyond the first. */
constexpr std::size_t kReplyBytes = 512 * 1024;

} // namespace

auto RevisionCache::Newest() const -> const std::shared_ptr<const ReleaseState>&
{
  return mNewest;
}

auto RevisionCache::StateAt(std::uint64_t aRevision) const
  -> std::shared_ptr<const ReleaseState>
{
  const auto it = std::ranges::find_if(mStates, [&](const auto& aState) {
    return aState->mRevision == aRevision;
  });
  return it == mStates.end() ? nullptr : *it;
}

auto RevisionCache::Push(ReleaseState aState) -> void
{
  mNewest = std::make_shared<const ReleaseState>(std::move(aState));
  mStates.push_back(mNewest);
  if (mStates.size() > kStatesKept) {
    mStates.pop_front();
  }
}

auto RevisionCache::AddRevision(std::string aText) -> absl::Status
{
  const auto revision = DecodeRevision(aText);
  if (!revision.ok()) {
    return revision.status();
  }
  const auto current = mNewest ? *mNewest : ReleaseState{};
  if (revision->mRevision <= current.mRevision) {
    return absl::OkStatus();
  }
  auto next = ApplyRevision(current, *revision);
  if (!next.ok()) {
    return next.status();
  }
  Push(*std::move(next));
  mBytes += aText.size();
  mRevisions.push_back({ revision->mRevision, std::move(aText) });
  while (mRevisions.size() > kRevisionsKept || mBytes > kBytesKept) {
    mBytes -= mRevisions.front().mText.size();
    mRevisions.pop_front();
  }
  return absl::OkStatus();
}

auto RevisionCache::AddState(ReleaseState aState) -> void
{
  if (mNewest && mNewest->mRevision >= aState.mRevision) {
    return;
  }
  mRevisions.clear();
  mBytes = 0;
  Push(std::move(aState));
}

auto RevisionCache::HandlePull(const PullRequest& aRequest) const -> PullReply
{
  PullReply out;
  if (!mNewest) {
    return out;
  }
  out.mHasState = true;
  out.mNewestRevision = mNewest->mRevision;
  if (aRequest.mHasState && aRequest.mRevision >= mNewest->mRevision) {
    return out;
  }
  const auto wanted = aRequest.mHasState ? aRequest.mRevision + 1 : 1;
  if (mRevisions.empty() || mRevisions.front().mRevision > wanted) {
    AddPiece(aRequest, out);
    return out;
  }
  std::size_t bytes = 0;
  const auto first = wanted - mRevisions.front().mRevision;
  for (auto i = first; i < mRevisions.size() && bytes < kReplyBytes; ++i) {
    out.mRevisions.push_back(mRevisions[i].mText);
    bytes += mRevisions[i].mText.size();
  }
  return out;
}

auto RevisionCache::AddPiece(const PullRequest& aRequest,
                             PullReply& aReply) const -> void
{
  auto state =
    aRequest.mChunkIndex == 0 ? mNewest : StateAt(aRequest.mStateRevision);
  if (!state) {
    return;
  }
  aReply.mStateRevision = state->mRevision;
  aReply.mStateDigest = state->mDigest;
  aReply.mChunkCount = kStateChunkCount;
  if (aRequest.mChunkIndex < kStateChunkCount) {
    aReply.mChunk = EncodeStateChunk(*state, aRequest.mChunkIndex);
  }
}

} // namespace eelgrasspost::releasenote

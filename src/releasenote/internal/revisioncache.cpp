#include "revisioncache.h"

#include <algorithm>

#include "eelgrasspost/releasenote/notecodec.h"

namespace eelgrasspost::releasenote {

namespace {

/** Limits of what is cached for peers that are behind. */
constexpr std::size_t kMaxCachedRevisions = 1024;
constexpr std::size_t kMaxCachedRevisionBytes = 8 * 1024 * 1024;
constexpr std::size_t kMaxCachedStates = 64;
/** No revision is added to a reply that has reached this size. */
constexpr std::size_t kMaxReplyBytes = 512 * 1024;

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

auto RevisionCache::AppendState(ReleaseState aState) -> void
{
  mNewest = std::make_shared<const ReleaseState>(std::move(aState));
  mStates.push_back(mNewest);
  if (mStates.size() > kMaxCachedStates) {
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
  AppendState(*std::move(next));
  mRevisionBytes += aText.size();
  mRevisions.push_back({ revision->mRevision, std::move(aText) });
  while (mRevisions.size() > kMaxCachedRevisions ||
         mRevisionBytes > kMaxCachedRevisionBytes) {
    mRevisionBytes -= mRevisions.front().mText.size();
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
  mRevisionBytes = 0;
  AppendState(std::move(aState));
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
  const auto nextRevision = aRequest.mHasState ? aRequest.mRevision + 1 : 1;
  if (mRevisions.empty() || mRevisions.front().mRevision > nextRevision) {
    AddChunk(aRequest, out);
    return out;
  }
  std::size_t bytes = 0;
  const auto first = nextRevision - mRevisions.front().mRevision;
  for (auto i = first; i < mRevisions.size() && bytes < kMaxReplyBytes; ++i) {
    out.mRevisions.push_back(mRevisions[i].mText);
    bytes += mRevisions[i].mText.size();
  }
  return out;
}

auto RevisionCache::AddChunk(const PullRequest& aRequest,
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

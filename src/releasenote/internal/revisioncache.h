#pragma once

#include <deque>
#include <memory>
#include <string>

#include <absl/status/status.h>

#include "eelgrasspost/releasenote/notepull.h"
#include "eelgrasspost/releasenote/releasenotetypes.h"

namespace eelgrasspost::releasenote {

/**
 * Recent revisions and their states. The newest revision never decreases: an
 * older one is ignored, and one that leaves a gap is rejected.
 */
class RevisionCache
{
public:
  /** Returns null until a state is known. */
  auto Newest() const -> const std::shared_ptr<const ReleaseState>&;
  /** Returns the state at a recent revision, or null if it is not cached. */
  auto StateAt(std::uint64_t aRevision) const
    -> std::shared_ptr<const ReleaseState>;
  /** Applies the next revision; an older one is ignored. */
  auto AddRevision(std::string aText) -> absl::Status;
  /** Adds a whole state; an older one is ignored. */
  auto AddState(ReleaseState aState) -> void;
  auto HandlePull(const PullRequest& aRequest) const -> PullReply;

private:
  struct CachedRevision
  {
    std::uint64_t mRevision;
    std::string mText;
  };

  auto AppendState(ReleaseState aState) -> void;
  auto AddChunk(const PullRequest& aRequest, PullReply& aReply) const -> void;

  /** Consecutive revisions, the newest last. */
  std::deque<CachedRevision> mRevisions;
  std::deque<std::shared_ptr<const ReleaseState>> mStates;
  std::shared_ptr<const ReleaseState> mNewest;
  std::size_t mRevisionBytes = 0;
};

} // namespace eelgrasspost::releasenote

#pragma once

#include <deque>
#include <memory>
#include <string>

#include <absl/status/status.h>

#include "eelgrasspost/releasenote/notepull.h"
#include "eelgrasspost/releasenote/releasenotetypes.h"

namespace eelgrasspost::releasenote {

/**
 * The revisions that an entry has seen last, and their states. It only moves
 * forward: a revision that does not follow the newest is refused.
 */
class RevisionCache
{
public:
  /** Null until a state is known. */
  auto Newest() const -> const std::shared_ptr<const ReleaseState>&;
  /** The state at a recent revision; null when it is no longer kept. */
  auto StateAt(std::uint64_t aRevision) const
    -> std::shared_ptr<const ReleaseState>;
  /** Moves one revision forward; an older one is ignored. */
  auto AddRevision(std::string aText) -> absl::Status;
  /** Takes a whole state; an older one is ignored. */
  auto AddState(ReleaseState aState) -> void;
  auto HandlePull(const PullRequest& aRequest) const -> PullReply;

private:
  struct Known
  {
    std::uint64_t mRevision;
    std::string mText;
  };

  auto Push(ReleaseState aState) -> void;
  auto AddPiece(const PullRequest& aRequest, PullReply& aReply) const -> void;

  /** Newest last, one revision apart. */
  std::deque<Known> mRevisions;
  std::deque<std::shared_ptr<const ReleaseState>> mStates;
  std::shared_ptr<const ReleaseState> mNewest;
  std::size_t mBytes = 0;
};

} // namespace eelgrasspost::releasenote

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasspost::releasenote {

/** Asks a peer for the revisions after the one that the sender has. */
struct PullRequest
{
  /** False until the sender knows any state. */
  bool mHasState = false;
  std::uint64_t mRevision = 0;
  /** Revision and index of the requested chunk of a whole state; index 0 always
   * requests the newest state. */
  std::uint64_t mStateRevision = 0;
  std::uint32_t mChunkIndex = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mHasState, mRevision, mStateRevision, mChunkIndex);
  }
};

/** Consecutive revisions, or a chunk of the whole state. */
struct PullReply
{
  bool mHasState = false;
  std::uint64_t mNewestRevision = 0;
  std::vector<std::string> mRevisions;
  std::uint64_t mStateRevision = 0;
  std::uint64_t mStateDigest = 0;
  std::uint32_t mChunkCount = 0;
  std::string mChunk;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mHasState,
            mNewestRevision,
            mRevisions,
            mStateRevision,
            mStateDigest,
            mChunkCount,
            mChunk);
  }
};

} // namespace eelgrasspost::releasenote

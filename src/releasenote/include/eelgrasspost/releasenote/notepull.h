#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasspost::releasenote {

/** Asks a peer for what follows a revision. */
struct PullRequest
{
  /** Whether the asker knows a revision at all. */
  bool mHasState = false;
  std::uint64_t mRevision = 0;
  /** Revision and number of the wanted piece of a whole state; piece 0 starts
   * anew with the newest. */
  std::uint64_t mStateRevision = 0;
  std::uint32_t mChunkIndex = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mHasState, mRevision, mStateRevision, mChunkIndex);
  }
};

/** Revisions in order, or else a piece of the whole state. */
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

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasspost::releasenote {

/** Asks a peer for what follows a revision. */
struct PullRequest
{
  /** Whether the asker knows a revision at all. */
  bool mIsKnown = false;
  std::uint64_t mRevision = 0;
  /** Revision and number of the wanted piece of a whole state; piece 0 starts
   * anew with the newest. */
  std::uint64_t mStateRevision = 0;
  std::uint32_t mPiece = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mIsKnown, mRevision, mStateRevision, mPiece);
  }
};

/** Revisions in order, or else a piece of the whole state. */
struct PullReply
{
  bool mIsKnown = false;
  std::uint64_t mNewest = 0;
  std::vector<std::string> mRevisions;
  std::uint64_t mStateRevision = 0;
  std::uint64_t mStateDigest = 0;
  std::uint32_t mPieces = 0;
  std::string mPiece;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mIsKnown,
            mNewest,
            mRevisions,
            mStateRevision,
            mStateDigest,
            mPieces,
            mPiece);
  }
};

} // namespace eelgrasspost::releasenote

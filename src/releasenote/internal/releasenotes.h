#pragma once

#include <random>

#include "eelgrasspost/releasenote/releasenotemodule.h"
#include "eelgrasspost/snapshot/snapshot.h"
#include "noterows.h"
#include "revisioncache.h"
#include "submission.h"

namespace eelgrasspost::releasenote {

class ReleaseNotes : public IReleaseNotes
{
public:
  ReleaseNotes(ReleaseNoteDependencies aParts, ReleaseNoteOptions aOptions);

  auto CurrentState() const -> std::shared_ptr<const ReleaseState> override;
  auto Status() const -> RevisionStatus override;
  auto Submit(std::string aNoteText,
              std::string aActor,
              base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::uint64_t>> override;
  auto Plan(std::string aNoteText, std::optional<std::uint64_t> aAgainst) const
    -> absl::StatusOr<NotePlan> override;
  auto History(std::uint64_t aAfter,
               std::size_t aLimit,
               base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::vector<NoteRevision>>> override;
  auto HandlePull(const PullRequest& aRequest) const -> PullReply override;
  auto Run() -> net::Task<void> override;

private:
  /** What one submission works on. */
  struct Work
  {
    ReleaseNote mNote;
    std::string mActor;
    std::string mSubmissionId;
    base::MonotonicTime mDeadline;
    Head mHead;
    NoteRevision mRevision;
  };

  // notesubmit.cpp
  auto ObserveHead(Work& aWork) -> net::Task<SubmissionEvent>;
  auto ObserveWinner(const Work& aWork) -> net::Task<SubmissionEvent>;
  auto PrepareRevision(Work& aWork) -> net::Task<absl::Status>;
  auto CommitRevision(const Work& aWork) -> net::Task<SubmissionEvent>;
  auto Conclude(const Work& aWork, SubmissionStep aStep)
    -> absl::StatusOr<std::uint64_t>;

  // notefetch.cpp
  auto ReadHead(base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<Head>>;
  /** Reads what the table has beyond this entry's revision. */
  auto CatchUp(std::uint64_t aHead, base::MonotonicTime aDeadline)
    -> net::Task<absl::Status>;
  auto LoadCheckpoint(base::MonotonicTime aDeadline) -> net::Task<absl::Status>;
  auto LoadPieces(Checkpoint aCheckpoint, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<ReleaseState>>;
  auto StoreCheckpoint(std::shared_ptr<const ReleaseState> aState)
    -> net::Task<void>;
  auto StorePieces(const ReleaseState& aState) -> net::Task<absl::Status>;
  auto DeleteOldRevisions(std::uint64_t aCheckpoint) -> net::Task<void>;
  auto PollLoop() -> net::Task<void>;
  auto PollInterval() const -> base::Milliseconds;

  // notepulls.cpp
  auto PullLoop() -> net::Task<void>;
  auto PullFrom(net::Address aPeer) -> net::Task<void>;
  auto PullPieces(net::Address aPeer, PullReply aFirst) -> net::Task<void>;
  /** A member that is ahead, nearest first; null if none is. */
  auto ChoosePeer() -> std::optional<net::Address>;

  /** Puts what the memory has as its newest in force. */
  auto Adopt() -> void;
  auto AddRevision(std::string aText) -> absl::Status;
  auto AddState(ReleaseState aState) -> void;
  auto Revision() const -> std::uint64_t;

  ReleaseNoteDependencies mParts;
  ReleaseNoteOptions mOptions;
  RevisionCache mCache;
  snapshot::Snapshot<ReleaseState> mInForce{ nullptr };
  base::MonotonicTime mInForceSince;
  base::MonotonicTime mConfirmedAt;
  bool mIsTableAway = false;
  std::minstd_rand mRandom;
};

} // namespace eelgrasspost::releasenote

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
  ReleaseNotes(ReleaseNoteDependencies aDependencies,
               ReleaseNoteOptions aOptions);

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
  /** The note and the data read for one submission. */
  struct SubmissionContext
  {
    ReleaseNote mNote;
    std::string mActor;
    std::string mSubmissionId;
    base::MonotonicTime mDeadline;
    Head mHead;
    NoteRevision mRevision;
  };

  // notesubmit.cpp
  auto CheckHead(SubmissionContext& aContext) -> net::Task<SubmissionEvent>;
  auto CheckWinner(const SubmissionContext& aContext)
    -> net::Task<SubmissionEvent>;
  auto PrepareRevision(SubmissionContext& aContext) -> net::Task<absl::Status>;
  auto CommitRevision(const SubmissionContext& aContext)
    -> net::Task<SubmissionEvent>;
  auto MakeResult(const SubmissionContext& aContext, SubmissionStep aStep)
    -> absl::StatusOr<std::uint64_t>;

  // notefetch.cpp
  auto ReadHead(base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<Head>>;
  /** Reads the revisions that follow this entry's from the table. */
  auto CatchUp(std::uint64_t aHead, base::MonotonicTime aDeadline)
    -> net::Task<absl::Status>;
  auto LoadCheckpoint(base::MonotonicTime aDeadline) -> net::Task<absl::Status>;
  auto LoadChunks(Checkpoint aCheckpoint, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<ReleaseState>>;
  auto StoreCheckpoint(std::shared_ptr<const ReleaseState> aState)
    -> net::Task<void>;
  auto StoreChunks(const ReleaseState& aState) -> net::Task<absl::Status>;
  auto DeleteOldRevisions(std::uint64_t aCheckpoint) -> net::Task<void>;
  auto PollLoop() -> net::Task<void>;
  auto PollInterval() const -> base::Milliseconds;

  // notepulls.cpp
  auto PullLoop() -> net::Task<void>;
  auto PullFrom(net::Address aPeer) -> net::Task<void>;
  auto PullChunks(net::Address aPeer, PullReply aFirst) -> net::Task<void>;
  /** Returns a member that is ahead of this entry, preferably one in the same
   * failure domain, or null if there is none. An entry that knows no revision
   * prefers the newest revision first. */
  auto ChoosePeer() -> std::optional<net::Address>;

  /** Publishes the newest state of the cache as the current one. */
  auto PublishNewest() -> void;
  auto AddRevision(std::string aText) -> absl::Status;
  auto AddState(ReleaseState aState) -> void;
  auto Revision() const -> std::uint64_t;

  ReleaseNoteDependencies mDependencies;
  ReleaseNoteOptions mOptions;
  RevisionCache mCache;
  snapshot::Snapshot<ReleaseState> mCurrentState{ nullptr };
  base::MonotonicTime mAppliedAt;
  base::MonotonicTime mConfirmedAt;
  bool mIsTableUnavailable = false;
  std::minstd_rand mRandom;
};

} // namespace eelgrasspost::releasenote

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/net/asio.h"
#include "eelgrasspost/releasenote/notepull.h"
#include "eelgrasspost/releasenote/releasenotetypes.h"

namespace eelgrasspost::releasenote {

/** The changes that a note would make to the state at a revision. */
struct NotePlan
{
  /** Revision that the note was planned against. */
  std::uint64_t mAgainst = 0;
  /** Newest revision that this entry knows. */
  std::uint64_t mNewestRevision = 0;
  std::vector<PlannedChange> mChanges;
};

/** Submits release notes and keeps the state that results from them. */
class IReleaseNotes
{
public:
  virtual ~IReleaseNotes() = default;

  /** Returns the newest state that this entry knows, or null until one is
   * known. Its revision never decreases. Takes no lock. */
  virtual auto CurrentState() const -> std::shared_ptr<const ReleaseState> = 0;

  // The functions below must be called on thread 0.

  virtual auto Status() const -> RevisionStatus = 0;
  /** Accepts a note by one conditional write and returns its revision.
   * Submitting the same note by the same actor again returns the same
   * revision. */
  virtual auto Submit(std::string aNoteText,
                      std::string aActor,
                      base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::uint64_t>> = 0;
  /** Plans a note against a recent revision, by default the newest, without
   * writing anything. */
  virtual auto Plan(std::string aNoteText,
                    std::optional<std::uint64_t> aAgainst) const
    -> absl::StatusOr<NotePlan> = 0;
  /** Returns the accepted notes after a revision, oldest first. */
  virtual auto History(std::uint64_t aAfter,
                       std::size_t aLimit,
                       base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::vector<NoteRevision>>> = 0;
  /** Returns the reply to the pull request of a peer. */
  virtual auto HandlePull(const PullRequest& aRequest) const -> PullReply = 0;
  /** Polls the table and the peers until the process exits. */
  virtual auto Run() -> net::Task<void> = 0;
};

} // namespace eelgrasspost::releasenote

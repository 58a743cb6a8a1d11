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

/** What a note would change at a revision. */
struct NotePlan
{
  /** Revision that the note was planned against. */
  std::uint64_t mAgainst = 0;
  /** Newest revision that this entry knows. */
  std::uint64_t mNewestRevision = 0;
  std::vector<PlannedChange> mChanges;
};

/** The release notes in force at this entry. */
class IReleaseNotes
{
public:
  virtual ~IReleaseNotes() = default;

  /** The newest state that this entry knows; never goes back. Null until one
   * is known. Takes no lock. */
  virtual auto CurrentState() const -> std::shared_ptr<const ReleaseState> = 0;

  // The calls below belong to thread 0.

  virtual auto Status() const -> RevisionStatus = 0;
  /** Accepts a note by one conditional write; gives its revision. The same
   * note of the same actor again gives the same revision. */
  virtual auto Submit(std::string aNoteText,
                      std::string aActor,
                      base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::uint64_t>> = 0;
  /** Plans a note against a recent revision, the newest if none is named;
   * writes nothing. */
  virtual auto Plan(std::string aNoteText,
                    std::optional<std::uint64_t> aAgainst) const
    -> absl::StatusOr<NotePlan> = 0;
  /** Accepted notes that follow a revision, oldest first. */
  virtual auto History(std::uint64_t aAfter,
                       std::size_t aLimit,
                       base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::vector<NoteRevision>>> = 0;
  /** What a peer that pulls is to get. */
  virtual auto HandlePull(const PullRequest& aRequest) const -> PullReply = 0;
  /** Polls the table and the peers until the process ends. */
  virtual auto Run() -> net::Task<void> = 0;
};

} // namespace eelgrasspost::releasenote

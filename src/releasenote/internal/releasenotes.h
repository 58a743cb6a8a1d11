#pragma once

#include "eelgrasspost/releasenote/releasenotemodule.h"
#include "eelgrasspost/snapshot/snapshot.h"

namespace eelgrasspost::releasenote {

/** Keys of the rows that hold the notes. */
inline constexpr std::string_view kHeadKey = "note/head";
auto RevisionKey(std::uint64_t aRevision) -> std::string;

class ReleaseNotes : public IReleaseNotes
{
public:
  ReleaseNotes(platform::ITable& aTable, ReleaseNoteOptions aOptions);

  auto InForce() const -> std::shared_ptr<const ReleaseState> override;
  auto Submit(std::string aNoteText,
              std::string aActor,
              base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::uint64_t>> override;
  auto Run() -> net::Task<void> override;

private:
  /** Reads the newest state from the table; revision 0 if there is none. */
  auto ReadNewest(base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<ReleaseState>>;
  /** Puts a state in force unless a newer one is. */
  auto Adopt(ReleaseState aState) -> void;

  platform::ITable& mTable;
  ReleaseNoteOptions mOptions;
  snapshot::Snapshot<ReleaseState> mInForce{ nullptr };
};

} // namespace eelgrasspost::releasenote

#pragma once

#include <memory>

#include "eelgrasspost/base/metrics.h"
#include "eelgrasspost/membership/imembership.h"
#include "eelgrasspost/net/messages.h"
#include "eelgrasspost/platform/iobjectstore.h"
#include "eelgrasspost/platform/itable.h"
#include "eelgrasspost/releasenote/ireleasenotes.h"

namespace eelgrasspost::releasenote {

/** What release notes stand on. */
struct ReleaseNoteDependencies
{
  platform::ITable& mTable;
  platform::IObjectStore& mObjects;
  membership::IMembership& mMembership;
  net::MessageClient& mMessages;
  base::Metrics& mMetrics;
};

struct ReleaseNoteOptions
{
  /** Shortest time between two looks at the head row. */
  base::Milliseconds mPollInterval{ 500 };
  /** Most looks a second of all entries together. */
  std::size_t mMaxPollsPerSecond = 40;
  /** Time between two looks at what the peers have. */
  base::Milliseconds mPullInterval{ 100 };
  base::Milliseconds mCallTimeout{ 3000 };
  /** A whole state is stored each time that so many notes were accepted. */
  std::uint64_t mRevisionsPerCheckpoint = 256;
  /** Accepted notes that history keeps at least. */
  std::uint64_t mMinRetainedRevisions = 50'000;
};

auto MakeReleaseNotes(ReleaseNoteDependencies aParts,
                      ReleaseNoteOptions aOptions)
  -> std::unique_ptr<IReleaseNotes>;

/** Lets peers pull revisions; the notes are read on the executor. */
auto RegisterPullHandler(net::MessageServer& aServer,
                         net::asio::any_io_executor aExecutor,
                         IReleaseNotes& aNotes) -> void;

} // namespace eelgrasspost::releasenote

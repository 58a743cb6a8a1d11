#pragma once

#include <memory>

#include "eelgrasspost/base/metrics.h"
#include "eelgrasspost/membership/imembership.h"
#include "eelgrasspost/net/messages.h"
#include "eelgrasspost/platform/iobjectstore.h"
#include "eelgrasspost/platform/itable.h"
#include "eelgrasspost/releasenote/ireleasenotes.h"

namespace eelgrasspost::releasenote {

/** The services that release notes use. */
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
  /** Minimum interval between two reads of the head row. */
  base::Milliseconds mPollInterval{ 500 };
  /** Maximum rate of head row reads by all entries together. */
  std::size_t mMaxPollsPerSecond = 40;
  /** Interval between two checks for a peer with a newer revision. */
  base::Milliseconds mPullInterval{ 100 };
  base::Milliseconds mCallTimeout{ 3000 };
  /** Number of accepted notes after which a checkpoint is stored. */
  std::uint64_t mRevisionsPerCheckpoint = 256;
  /** Minimum number of accepted notes that the history retains. */
  std::uint64_t mMinRetainedRevisions = 50'000;
};

auto MakeReleaseNotes(ReleaseNoteDependencies aDependencies,
                      ReleaseNoteOptions aOptions)
  -> std::unique_ptr<IReleaseNotes>;

/** Registers the handler of peers' pull requests; it calls the release notes on
 * the executor. */
auto RegisterPullHandler(net::MessageServer& aServer,
                         net::asio::any_io_executor aExecutor,
                         IReleaseNotes& aNotes) -> void;

} // namespace eelgrasspost::releasenote

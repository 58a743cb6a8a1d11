#pragma once

#include <memory>

#include "eelgrasspost/base/metrics.h"
#include "eelgrasspost/batch/ijobs.h"
#include "eelgrasspost/membership/imembership.h"
#include "eelgrasspost/net/messages.h"
#include "eelgrasspost/ownership/iownership.h"
#include "eelgrasspost/platform/itable.h"
#include "eelgrasspost/platform/iworker.h"
#include "eelgrasspost/releasenote/ireleasenotes.h"

namespace eelgrasspost::batch {

struct BatchOptions
{
  /** Shortest time between two grouped writes of this entry. */
  base::Milliseconds mTickInterval{ 200 };
  /** Shortest time between two looks for rows that others changed. */
  base::Milliseconds mPollInterval{ 500 };
  /** Between two calls to a worker for report and renewals. */
  base::Milliseconds mCheckInterval{ 1000 };
  /** Lease of an attempt at its worker. */
  base::Milliseconds mAttemptLease{ 5000 };
  base::Milliseconds mCallTimeout{ 2000 };
  /** For a report of a worker that another entry owns. */
  base::Milliseconds mRemoteCallTimeout{ 500 };
  /** Age at which an attempt that is not among this entry's blocks, or a
   * start whose write is in doubt, is settled by reading its row. */
  base::Milliseconds mReconcileAfter{ 3000 };
  /** How long a worker must be missing from the VM list before its attempts
   * are held to have ended with it. */
  base::Milliseconds mRemovedAfter{ 30000 };
};

struct BatchDependencies
{
  platform::ITable& mTable;
  platform::IWorker& mWorker;
  ownership::IOwnership& mOwnership;
  membership::IMembership& mMembership;
  releasenote::IReleaseNotes& mNotes;
  base::Metrics& mMetrics;
  net::MessageClient& mMessages;
};

auto MakeJobs(BatchDependencies aDependencies, BatchOptions aOptions)
  -> std::unique_ptr<IJobs>;

/** Answers other entries that look for room; before the server listens. */
auto RegisterPlaceTasksHandler(net::MessageServer& aServer,
                               IJobs& aJobs,
                               net::asio::any_io_executor aThread0) -> void;

} // namespace eelgrasspost::batch

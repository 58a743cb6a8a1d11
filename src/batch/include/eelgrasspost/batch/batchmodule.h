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
  /** Minimum interval between two transactions of this entry. */
  base::Milliseconds mTickInterval{ 200 };
  /** Minimum interval between two polls for rows that others changed. */
  base::Milliseconds mPollInterval{ 500 };
  /** Interval of the worker check, which fetches the report and renews the
   * leases of attempts. */
  base::Milliseconds mCheckInterval{ 1000 };
  /** Lease of an attempt on its worker. */
  base::Milliseconds mAttemptLease{ 5000 };
  base::Milliseconds mCallTimeout{ 2000 };
  /** Timeout of calls that concern workers of other entries: fetching their
   * reports and asking their owners for capacity. */
  base::Milliseconds mRemoteCallTimeout{ 500 };
  /** Age at which an untracked attempt, or a start whose commit has an unknown
   * outcome, is reconciled by reading its row. */
  base::Milliseconds mReconcileAfter{ 3000 };
  /** How long a worker must be missing from the VM list before it counts as
   * removed and its attempts as interrupted. */
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

/** Registers the handler for placement requests of other entries. Call before
 * the server listens. */
auto RegisterPlaceTasksHandler(net::MessageServer& aServer,
                               IJobs& aJobs,
                               net::asio::any_io_executor aThread0) -> void;

} // namespace eelgrasspost::batch

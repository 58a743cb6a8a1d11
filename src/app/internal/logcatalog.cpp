#include <array>

#include "eelgrasspost/batch/batchlogevents.h"
#include "eelgrasspost/dispatch/dispatchlogevents.h"
#include "eelgrasspost/dispatch/peerlogevents.h"
#include "eelgrasspost/dispatch/storelogevents.h"
#include "eelgrasspost/idempotency/idempotencylogevents.h"
#include "eelgrasspost/net/netlogevents.h"
#include "eelgrasspost/ownership/ownershiplogevents.h"
#include "eelgrasspost/releasenote/releasenotelogevents.h"
#include "pages.h"

namespace eelgrasspost::app {

namespace {

constexpr auto kEvents = std::array{
  net::kHandlerFailed,
  releasenote::kNoteAccepted,
  releasenote::kRevisionApplied,
  releasenote::kStateRejected,
  releasenote::kTableUnavailable,
  releasenote::kTableAvailable,
  releasenote::kCheckpointFailed,
  ownership::kWorkerClaimed,
  ownership::kWorkerLost,
  ownership::kWorkerRestarted,
  ownership::kWorkerHandedOver,
  ownership::kClaimResolved,
  ownership::kHandOverIncomplete,
  ownership::kWorkerCannotFence,
  batch::kObsoleteAttempt,
  batch::kWriteConflict,
  batch::kTableUnavailable,
  batch::kTaskParked,
  batch::kWorkerRemoved,
  batch::kMalformedRow,
  batch::kEvicted,
  dispatch::kEntryStarted,
  dispatch::kStopRequested,
  dispatch::kReloadRequested,
  dispatch::kConfigurationApplied,
  dispatch::kCellClaimed,
  dispatch::kCellActive,
  dispatch::kCellLost,
  dispatch::kStoreUnreachable,
  dispatch::kStoreReachable,
  dispatch::kJobRequestAnswered,
  dispatch::kCancellationCompleted,
  dispatch::kTaskPlaced,
  dispatch::kOrderFailed,
  dispatch::kRunEnded,
  dispatch::kRunStopped,
  dispatch::kRunsLost,
  dispatch::kWorkerOnProbation,
  dispatch::kCpuShareChanged,
  dispatch::kJobEnded,
  dispatch::kJobMigrated,
  dispatch::kWorkerTransferred,
  dispatch::kTaskHosted,
  dispatch::kWorkerReconciled,
  dispatch::kForeignRunFound,
  dispatch::kCapacityChanged,
  dispatch::kWorkerListStateChanged,
  dispatch::kCrashCounted,
  dispatch::kTaskWaits,
  dispatch::kHostRefused,
  dispatch::kNoHostCell,
  dispatch::kTasksReturned,
  dispatch::kLayoutCreated,
  dispatch::kConnectionGivenUp,
  dispatch::kEndWithoutJob,
  dispatch::kHolderRefused,
  dispatch::kWorkerLent,
  dispatch::kTransferRead,
  dispatch::kFreeCapacity,
  dispatch::kReservationDisplaced,
  dispatch::kMajorityAccepted,
  dispatch::kWorkerRestarted,
  dispatch::kEvacuationRequested,
  dispatch::kEvacuationApplied,
  dispatch::kEvacuationWithdrawn,
  dispatch::kJobNotAdmitted,
  dispatch::kGatheredTaskStarted,
  dispatch::kJobOverflows,
  dispatch::kTaskDuplicated,
  dispatch::kDrainHeard,
  dispatch::kSubmissionSettled,
  dispatch::kCommitRefused,
  dispatch::kJobSetAside,
  dispatch::kEndsReleased,
  dispatch::kCheckpointsNotStored,
  dispatch::kProgressUnreadable,
  dispatch::kWorkerRowIgnored,
  dispatch::kMemberRejected,
  dispatch::kHeartbeatDropped,
  dispatch::kCellChangedHands,
  dispatch::kCellUnstable,
  dispatch::kPendingCounted,
  dispatch::kEntryRegistered,
  dispatch::kPeerFollowed,
  dispatch::kEntryRowReplaced,
  dispatch::kPartitionsAgreed,
  idempotency::kRecordFailed,
  idempotency::kMalformedRecord,
  idempotency::kSweepFailed,
};

} // namespace

auto AllLogEvents() -> std::span<const base::LogEvent>
{
  return kEvents;
}

} // namespace eelgrasspost::app

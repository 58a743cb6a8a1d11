#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "eelgrasspost/base/bootclock.h"

namespace eelgrasspost::dispatch {

/** The last contact of a holder with a worker. */
struct WorkerContact
{
  /** When the call was sent to which the worker replied last. */
  base::BootTime mSentAt{};
  std::int64_t mIncarnationStartMs = 0;
  /** When this incarnation replied first. */
  base::BootTime mIncarnationSeenAt{};
};

using WorkerContacts = std::map<std::string, WorkerContact>;

/** Records a reply to a call with the holder's fencing token. */
auto NoteContact(WorkerContacts& aContacts,
                 const std::string& aWorker,
                 std::int64_t aIncarnationStartMs,
                 base::BootTime aSentAt,
                 base::BootTime aNow) -> void;

/** The latest time after which most members of a cell, five eighths, have
 * replied to its holder. A later holder had not reached all of these members by
 * then. An incarnation that replied first after aConfirmedAt, when the claim of
 * the holder was confirmed, does not count: it may have forgotten the token of
 * a later holder. */
auto MajorityRepliedSince(const WorkerContacts& aContacts,
                          const std::vector<std::string>& aMembers,
                          base::BootTime aConfirmedAt) -> base::BootTime;

/** Whether incarnations have replied that do not count before the claim of the
 * holder is confirmed again. */
auto HasUnconfirmed(const WorkerContacts& aContacts,
                    base::BootTime aConfirmedAt) -> bool;

/** Whether the members that have accepted a holder's fencing token, more than
 * half of them, leave no majority to the previous holder. An eighth of the
 * members allows for rows that only one of the two has read. */
auto ExcludesMajority(std::size_t aAccepted, std::size_t aMembers) -> bool;

} // namespace eelgrasspost::dispatch

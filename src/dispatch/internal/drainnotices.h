#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/cell/celltypes.h"
#include "eelgrasspost/dispatch/dispatchtypes.h"

namespace eelgrasspost::dispatch {

/** How long an entry tells others that it has read that a worker drains. */
inline constexpr auto kDrainNoticeTime = Milliseconds(3000);
/** Notices per heartbeat; successive heartbeats cycle through all. */
inline constexpr std::size_t kMaxDrainNotices = 16;
/** Notices that an entry keeps; with more, the oldest are dropped. */
inline constexpr std::size_t kMaxKeptDrainNotices = 256;

/** What an entry tells others of draining workers, and what it heard of them
 * before it read it. */
struct DrainNotices
{
  std::deque<std::pair<MonotonicTime, DrainNotice>> mRead;
  std::size_t mNext = 0;
  /** By worker; until a row of that version or a newer one is read. */
  std::map<std::string, DrainNotice> mHeard;
};

/** Keeps a worker draining in a row that is older than what was heard. aRecord:
 * the worker as read at a version of the store. */
auto ApplyHeard(DrainNotices& aNotices,
                cell::WorkerRecord& aRecord,
                std::uint64_t aVersion) -> void;

/** Records that a worker was read as draining. */
auto NoteDraining(DrainNotices& aNotices,
                  const cell::WorkerRecord& aRecord,
                  std::uint64_t aVersion,
                  MonotonicTime aNow) -> void;

auto ForgetWorker(DrainNotices& aNotices, const std::string& aId) -> void;

/** Returns the notices for the next heartbeat. */
auto TakeNotices(DrainNotices& aNotices, MonotonicTime aNow)
  -> std::vector<DrainNotice>;

/** Whether a notice tells something new of a worker. aKnown: the worker as it
 * was read here; aReadVersion: all changes of the list up to this version of
 * the store were read here. */
auto HearNotice(DrainNotices& aNotices,
                const DrainNotice& aNotice,
                const cell::WorkerRecord& aKnown,
                std::uint64_t aReadVersion) -> bool;

} // namespace eelgrasspost::dispatch

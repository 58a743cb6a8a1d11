#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <cereal/types/optional.hpp>
#include <cereal/types/vector.hpp>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/base/enumnames.h"

namespace eelgrasspost::admission {

using base::Milliseconds;
using base::MonotonicTime;

/** Which CPU time a task uses. */
enum class RoomKind : std::uint8_t
{
  /** CPU that is reserved for it. */
  Reserved,
  /** CPU that other tasks leave over. */
  Leftover,
};

inline constexpr auto kRoomKindNames = std::array{
  base::EnumName<RoomKind>{ RoomKind::Reserved, "reserved" },
  base::EnumName<RoomKind>{ RoomKind::Leftover, "leftover" },
};

/** Work that a cell has accepted and not done, by the estimates of its
 * submitters. */
struct Backlog
{
  RoomKind mKind = RoomKind::Reserved;
  /** Priority of its queue; 0 is the most urgent. */
  std::int64_t mPriority = 0;
  /** Size of its jobs; see SizeClassOf. */
  std::uint32_t mSizeClass = 0;
  /** CPU milliseconds of tasks that wait and whose jobs can meet their
   * objective, */
  double mWaitingCpuMs = 0;
  /** and of those whose jobs are late, but still of use; they are started after
   * all others. */
  double mLateCpuMs = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mKind, mPriority, mSizeClass, mWaitingCpuMs, mLateCpuMs);
  }
};

/** How fast a cell does the work of one kind. */
struct KindRate
{
  /** Cores that usable workers have for it. */
  double mCores = 0;
  /** Estimated CPU milliseconds that were done per millisecond lately, while
   * tasks waited without a pause; nothing if they did not. */
  std::optional<double> mSaturatedRate;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mCores, mSaturatedRate);
  }
};

/** The load of a cell as its holder reports it. */
struct CellLoad
{
  KindRate mReserved;
  KindRate mLeftover;
  std::vector<Backlog> mBacklogs;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mReserved, mLeftover, mBacklogs);
  }
};

/** The load of a cell as an entry knows it. */
struct KnownLoad
{
  CellLoad mLoad;
  /** Since the holder reported it. */
  Milliseconds mAge{ 0 };
  /** Its holder sends orders; it may be about to, or be replaced, otherwise. */
  bool mIsActive = false;
};

/** What a job needs to be of use to its caller. */
struct JobDemand
{
  RoomKind mKind = RoomKind::Reserved;
  std::int64_t mPriority = 0;
  /** Estimated CPU milliseconds of all tasks. */
  double mCpuMs = 0;
  /** Estimated duration of its longest chain of tasks. */
  Milliseconds mChain{ 0 };
  /** Time from the submission at which its result is due, */
  Milliseconds mObjective{ 0 };
  /** and from which it is of no use. */
  Milliseconds mLatestUse{ 0 };
};

/** Callers and jobs that are served alike. */
struct ShareKey
{
  std::string mQueue;
  /** Failure domain of the entry that has received the job. */
  std::string mDomain;
  /** 0 for the smallest; see SizeClassOf. */
  std::uint32_t mSizeClass = 0;

  auto operator<=>(const ShareKey&) const = default;
};

enum class Verdict : std::uint8_t
{
  Accept,
  /** No cell could do the job while it is of use. */
  TooLate,
};

inline constexpr auto kVerdictNames = std::array{
  base::EnumName<Verdict>{ Verdict::Accept, "accept" },
  base::EnumName<Verdict>{ Verdict::TooLate, "too_late" },
};

struct Decision
{
  Verdict mVerdict = Verdict::Accept;
  /** Expected wait in the cell with the shortest one, and the longest wait with
   * which the job would have met its objective. */
  Milliseconds mWait{ 0 };
  Milliseconds mMaxWait{ 0 };
  /** Expected wait behind all late jobs, and the longest one with which the job
   * would have been of use. */
  Milliseconds mLateWait{ 0 };
  Milliseconds mMaxLateWait{ 0 };
  /** When a refused caller should come back; 0 if it was accepted. */
  Milliseconds mRetryAfter{ 0 };
};

} // namespace eelgrasspost::admission

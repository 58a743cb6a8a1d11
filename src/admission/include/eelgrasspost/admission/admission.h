#pragma once

#include <map>
#include <string_view>
#include <vector>

#include "eelgrasspost/admission/admissiontypes.h"

namespace eelgrasspost::admission {

/** When a job would start to run in a cell. */
struct ExpectedWait
{
  /** After the jobs that are started before it while it can meet its
   * objective, */
  Milliseconds mInTime{ 0 };
  /** and after all jobs that are of use, once it cannot. */
  Milliseconds mLate{ 0 };
};

/** The waits in a cell that does the given CPU milliseconds per millisecond. */
auto WaitAtRate(const CellLoad& aLoad, const JobDemand& aDemand, double aRate)
  -> ExpectedWait;

/** The shortest waits if all estimates of run times may be too long by a factor
 * of two. Zero for a cell of which too little is known. */
auto WaitIn(const KnownLoad& aCell, const JobDemand& aDemand) -> ExpectedWait;

/** Work of one key that was asked for and granted lately; it decays. */
struct Share
{
  double mAskedCpuMs = 0;
  double mGrantedCpuMs = 0;
  MonotonicTime mUpdatedAt{};
  /** Last submission. */
  MonotonicTime mAskedAt{};
  /** Refusals in the current second, and the submissions of it. */
  std::uint32_t mRefused = 0;
  std::uint32_t mAsked = 0;
  MonotonicTime mSecondStartedAt{};
  /** Since it was refused last, and not accepted by the lower bound. */
  bool mIsRefusing = false;
};
using ShareTable = std::map<ShareKey, Share>;

/** Class of the size of a job: 0 to kSizeClasses - 1, by the logarithm of its
 * work against a second on one core. */
auto SizeClassOf(double aCpuMs) -> std::uint32_t;

/** Decides on a job that is new to the system. aJob: its id, over which the
 * return of refused callers is spread. Updates the shares. */
auto Decide(const std::vector<KnownLoad>& aCells,
            const JobDemand& aDemand,
            const ShareKey& aKey,
            std::string_view aJob,
            ShareTable& aShares,
            MonotonicTime aNow) -> Decision;

/** Measures how fast work of one kind is done. */
struct RateMeter
{
  double mDoneCpuMs = 0;
  MonotonicTime mSince{};
  std::optional<double> mRate;
};

/** Records work that has ended. */
auto AddDone(RateMeter& aMeter, double aCpuMs) -> void;
/** Ends a period of measurement if it was long enough. aIsSaturated: tasks
 * waited all the time; otherwise the measurement starts anew. aRunTime: how
 * long the tasks take that run; in a shorter period few or none of them end. */
auto UpdateRate(RateMeter& aMeter,
                bool aIsSaturated,
                Milliseconds aRunTime,
                MonotonicTime aNow) -> void;

} // namespace eelgrasspost::admission

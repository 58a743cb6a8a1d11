#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/net/address.h"
#include "eelgrasspost/net/http.h"

namespace eelgrasspost::load {

/** A span of time whose request rate goes evenly from one value to another. */
struct LoadStep
{
  /** Requests a second at its start and at its end. */
  double mFromRate = 0;
  double mToRate = 0;
  base::Milliseconds mTime{ 0 };
};

/** Where requests go, and what they carry beside the plan's own fields. */
struct LoadTarget
{
  net::Address mAddress;
  std::vector<net::HttpField> mFields;
};

/** An open-loop run: requests are sent at their times whatever becomes of
 * earlier ones. Targets are taken in turn. */
struct LoadPlan
{
  std::vector<LoadTarget> mTargets;
  /** Path and query. */
  std::string mPath;
  base::Milliseconds mDeadline{ 1000 };
  std::vector<LoadStep> mSteps;
  std::size_t mThreads = 2;
  std::uint64_t mSeed = 1;
};

/** When a request is to be sent. */
struct Arrival
{
  base::Microseconds mAt{ 0 };
  std::size_t mStep = 0;
};

/** What became of the requests of one step. */
struct StepResult
{
  std::int64_t mSent = 0;
  std::int64_t mInTime = 0;
  std::int64_t mLate = 0;
  std::int64_t mRefused = 0;
  /** The outcome is unknown, or there was no answer. */
  std::int64_t mUnknown = 0;
  /** Counted from the time at which the request was to be sent; in order of
   * size. */
  std::vector<base::Microseconds> mAnsweredTimes;
  std::vector<base::Microseconds> mRefusalTimes;
};

} // namespace eelgrasspost::load

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/net/address.h"
#include "eelgrasspost/net/http.h"

namespace eelgrasspost::load {

/** A part of a load run whose request rate changes linearly. */
struct LoadStep
{
  /** Requests per second at its start and at its end. */
  double mFromRate = 0;
  double mToRate = 0;
  base::Milliseconds mDuration{ 0 };
};

/** Destination of requests, and header fields added to those of the plan. */
struct LoadTarget
{
  net::Address mAddress;
  std::vector<net::HttpField> mFields;
};

/** An open-loop run: requests are sent at their scheduled times, whether or not
 * earlier ones are answered. Targets are used round-robin. */
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

/** Scheduled time of a request. */
struct Arrival
{
  base::Microseconds mAt{ 0 };
  std::size_t mStep = 0;
};

/** Outcomes of the requests of one step. */
struct StepResult
{
  std::int64_t mSent = 0;
  std::int64_t mInTime = 0;
  std::int64_t mLate = 0;
  std::int64_t mRefused = 0;
  /** The outcome is unknown, or there was no answer. */
  std::int64_t mUnknown = 0;
  /** Measured from the scheduled time of the request; ascending. */
  std::vector<base::Microseconds> mAnsweredTimes;
  std::vector<base::Microseconds> mRefusalTimes;
};

} // namespace eelgrasspost::load

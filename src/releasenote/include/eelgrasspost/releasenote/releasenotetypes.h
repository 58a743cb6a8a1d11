#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/net/address.h"
#include "eelgrasspost/platform/platformtypes.h"
#include "eelgrasspost/releasenote/spectable.h"

namespace eelgrasspost::releasenote {

/** Where a service runs: an HTTP server on a worker. */
struct EndpointSpec
{
  std::string mWorker;
  net::Address mAddress;

  auto operator<=>(const EndpointSpec&) const = default;
};

/** A service that a person waits on. */
struct ServiceSpec
{
  std::string mName;
  std::vector<EndpointSpec> mEndpoints;
  /** Whether a request may be run again after an unknown outcome. */
  bool mIdempotent = false;
  /** Longest time for a request, in milliseconds; callers may ask for less. */
  std::int64_t mDeadlineMs = 1000;
  /** Retries allowed, as a percentage of recent successes. */
  std::int64_t mRetryPercent = 10;
  /** Requests that one entry lets wait for a slot. */
  std::int64_t mQueueLimit = 64;
  /** What one slot takes of its worker; batch placement leaves it free. */
  std::int64_t mSlotCpuMillis = 500;
  std::int64_t mSlotMemoryMb = 1024;

  auto operator<=>(const ServiceSpec&) const = default;
};

/** A team and what its batch tasks may hold at once. */
struct TeamSpec
{
  std::string mName;
  platform::Resources mQuota;

  auto operator<=>(const TeamSpec&) const = default;
};

/** A release note: what one operator adds, changes and withdraws. */
struct ReleaseNote
{
  /** Revision that the note was written against. */
  std::uint64_t mBaseRevision = 0;
  std::vector<ServiceSpec> mAddedServices;
  std::vector<ServiceSpec> mChangedServices;
  std::vector<std::string> mWithdrawnServices;
  std::vector<TeamSpec> mAddedTeams;
  std::vector<TeamSpec> mChangedTeams;
  std::vector<std::string> mWithdrawnTeams;
};

/** All that is in force at a revision. */
struct ReleaseState
{
  /** Grows by one with each accepted note; 0 before the first. */
  std::uint64_t mRevision = 0;
  SpecTable<ServiceSpec> mServices;
  SpecTable<TeamSpec> mTeams;
  /** Of all specs, whatever their order; kept up with each change. */
  std::uint64_t mDigest = 0;

  /** Null when the service is not in force. */
  auto FindService(std::string_view aName) const -> const ServiceSpec*;
  auto FindTeam(std::string_view aName) const -> const TeamSpec*;
};

/** One accepted note: what a revision changed, and who submitted it. */
struct NoteRevision
{
  std::uint64_t mRevision = 0;
  std::string mActor;
  /** Milliseconds since the Unix epoch by the accepting entry's clock. */
  std::int64_t mTimestampMs = 0;
  /** Names the submission, so that its repetition is recognised. */
  std::string mSubmissionId;
  /** Digest of the state after the change. */
  std::uint64_t mDigest = 0;
  ReleaseNote mNote;
};

/** One line of a plan: what a note would do to an object. */
struct PlannedChange
{
  /** "service" or "team". */
  std::string mKind;
  /** "add", "change" or "withdraw". */
  std::string mAction;
  std::string mName;
  /** The spec as JSON before and after; empty when there is none. */
  std::string mBefore;
  std::string mAfter;
};

/** How well this entry knows what is in force. */
struct RevisionStatus
{
  /** False until a revision is known, be it 0. */
  bool mIsKnown = false;
  std::uint64_t mRevision = 0;
  /** Time since the revision came into force here. */
  base::Milliseconds mTimeSinceApplied{ 0 };
  /** Time since the table or a peer last confirmed it as the newest. */
  base::Milliseconds mTimeSinceConfirmed{ 0 };
};

} // namespace eelgrasspost::releasenote

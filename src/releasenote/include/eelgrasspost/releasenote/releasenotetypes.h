#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/net/address.h"
#include "eelgrasspost/platform/platformtypes.h"
#include "eelgrasspost/releasenote/spectable.h"

namespace eelgrasspost::releasenote {

/** An HTTP server of a service on a worker. */
struct EndpointSpec
{
  std::string mWorker;
  net::Address mAddress;

  auto operator<=>(const EndpointSpec&) const = default;
};

/** An interactive service: a person waits for its responses. */
struct ServiceSpec
{
  std::string mName;
  std::vector<EndpointSpec> mEndpoints;
  /** Whether a request may be run again after an unknown outcome. */
  bool mIdempotent = false;
  /** Maximum time for a request; callers may set a shorter deadline. */
  std::int64_t mDeadlineMs = 1000;
  /** Retry budget, as a percentage of recent successes. */
  std::int64_t mRetryPercent = 10;
  /** Maximum number of requests that wait for a slot at one entry. */
  std::int64_t mQueueLimit = 64;
  /** Resources of one slot; batch placement leaves them free on the worker. */
  std::int64_t mSlotCpuMillis = 500;
  std::int64_t mSlotMemoryMb = 1024;

  auto operator<=>(const ServiceSpec&) const = default;
};

/** A team and the resources that its batch tasks may hold at once. */
struct TeamSpec
{
  std::string mName;
  platform::Resources mQuota;

  auto operator<=>(const TeamSpec&) const = default;
};

/** A set of changes by one operator: what it adds, changes and withdraws. */
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

/** All services and teams at a revision. */
struct ReleaseState
{
  /** Increases by one with each accepted note; 0 before the first. */
  std::uint64_t mRevision = 0;
  SpecTable<ServiceSpec> mServices;
  SpecTable<TeamSpec> mTeams;
  /** Digest of all specs, independent of their order and updated with each
   * change. */
  std::uint64_t mDigest = 0;

  /** Returns null if there is no such service. */
  auto FindService(std::string_view aName) const -> const ServiceSpec*;
  auto FindTeam(std::string_view aName) const -> const TeamSpec*;
};

/** One accepted note, with who submitted it and when. */
struct NoteRevision
{
  std::uint64_t mRevision = 0;
  std::string mActor;
  /** Milliseconds since the Unix epoch, by the accepting entry's clock. */
  std::int64_t mTimestampMs = 0;
  /** Identifies the submission, so that a repetition is recognised. */
  std::string mSubmissionId;
  /** Digest of the state after the change. */
  std::uint64_t mDigest = 0;
  ReleaseNote mNote;
};

/** One line of a plan: how a note would change one object. */
struct PlannedChange
{
  /** "service" or "team". */
  std::string mKind;
  /** "add", "change" or "withdraw". */
  std::string mAction;
  std::string mName;
  /** The spec as JSON before and after; empty if there is none. */
  std::string mBefore;
  std::string mAfter;
};

/** The revision that this entry has applied, and how current it is. */
struct RevisionStatus
{
  /** False until a revision is known, which may be 0. */
  bool mIsKnown = false;
  std::uint64_t mRevision = 0;
  /** Time since this entry applied the revision. */
  base::Milliseconds mTimeSinceApplied{ 0 };
  /** Time since a read of the table last confirmed it as the newest. */
  base::Milliseconds mTimeSinceConfirmed{ 0 };
};

} // namespace eelgrasspost::releasenote

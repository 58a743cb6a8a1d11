#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "eelgrasspost/base/enumnames.h"
#include "eelgrasspost/base/jsonfields.h"
#include "eelgrasspost/net/address.h"

namespace eelgrasspost::platform {

/** A row of the table service. Versions start at 1 and grow with each write. */
struct TableRow
{
  std::string mKey;
  std::string mValue;
  std::uint64_t mVersion = 0;
};

/** Expected version of a row that must not exist yet. */
inline constexpr std::uint64_t kAbsent = 0;

/** One write of a transaction, which is applied only if all of its rows have
 * their expected versions. */
struct TableWrite
{
  std::string mKey;
  /** The new value; nullopt deletes the row. */
  std::optional<std::string> mValue;
  /** Version that the row must have; nullopt accepts any version. */
  std::optional<std::uint64_t> mExpectedVersion;
};

enum class VmKind
{
  Entry,
  Worker,
};

inline constexpr auto kVmKindNames = std::array{
  base::EnumName<VmKind>{ VmKind::Entry, "entry" },
  base::EnumName<VmKind>{ VmKind::Worker, "worker" },
};

enum class VmState
{
  Live,
  Leaving,
};

inline constexpr auto kVmStateNames = std::array{
  base::EnumName<VmState>{ VmState::Live, "live" },
  base::EnumName<VmState>{ VmState::Leaving, "leaving" },
};

/** Capacity of a worker, or what a task uses of it. */
struct Resources
{
  /** Thousandths of a core. */
  std::int64_t mCpuMillis = 0;
  std::int64_t mMemoryMb = 0;
  std::int64_t mAccelerators = 0;

  auto operator<=>(const Resources&) const = default;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mCpuMillis, mMemoryMb, mAccelerators);
  }
};

/** One VM of IVmList. */
struct VmRecord
{
  std::string mId;
  VmKind mKind = VmKind::Worker;
  VmState mState = VmState::Live;
  std::string mRegion;
  std::string mFailureDomain;
  std::string mRack;
  /** Of an entry: its TCP and UDP address for other entries. Of a worker: its
   * agent's HTTP address. */
  net::Address mControl;
  /** Maximum number of concurrent requests to all endpoints of a worker. */
  std::int64_t mSlots = 0;
  /** Whether a worker rejects lower fencing tokens. */
  bool mSupportsFencing = true;
  Resources mResources;
};

/** Orders the commands of different holders to one worker. The higher number
 * wins; equal numbers are ordered by the holder's name. */
struct FencingToken
{
  std::uint64_t mNumber = 0;
  std::string mHolder;

  auto operator<=>(const FencingToken&) const = default;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mNumber, mHolder);
  }
};

/** Formats as "<number>.<holder>", as in the Fencing-Token field. */
auto ToString(const FencingToken& aToken) -> std::string;
auto ParseFencingToken(std::string_view aText) -> std::optional<FencingToken>;

/** State of a task attempt as reported by its worker. */
enum class AttemptState
{
  Running,
  Succeeded,
  Failed,
  Stopped,
  LeaseLapsed,
};

inline constexpr auto kAttemptStateNames = std::array{
  base::EnumName<AttemptState>{ AttemptState::Running, "running" },
  base::EnumName<AttemptState>{ AttemptState::Succeeded, "succeeded" },
  base::EnumName<AttemptState>{ AttemptState::Failed, "failed" },
  base::EnumName<AttemptState>{ AttemptState::Stopped, "stopped" },
  base::EnumName<AttemptState>{ AttemptState::LeaseLapsed, "lease_lapsed" },
};

/** A running or ended task attempt as reported by its worker. */
struct AttemptReport
{
  std::string mTask;
  std::uint64_t mAttempt = 0;
  AttemptState mState = AttemptState::Running;
  Resources mResources;
  std::int64_t mUsedMs = 0;
  /** Newest checkpoint of the task in the object store; empty if none. */
  std::string mCheckpoint;
  std::string mDetail;
};

/** State of a worker as reported by its agent. */
struct WorkerReport
{
  /** Changes whenever the worker loses its tokens and its work. */
  std::string mIncarnation;
  FencingToken mHighestToken;
  /** In the response to a claim: the highest token before it. */
  FencingToken mReplacedToken;
  bool mLeaving = false;
  /** Attempt ids of the requests that its endpoints are processing. */
  std::vector<std::string> mRequests;
  std::vector<AttemptReport> mAttempts;
  /** In thousandths of a core; measured with a delay. */
  std::int64_t mCpuMillisUsed = 0;
};

struct StartCommand
{
  std::string mTask;
  std::uint64_t mAttempt = 0;
  Resources mResources;
  std::int64_t mLeaseMs = 0;
  /** Where to resume from; empty starts from the beginning. */
  std::string mCheckpoint;
  /** What to run, as configured by the operator. */
  std::string mCommand;
};

struct AttemptRef
{
  std::string mTask;
  std::uint64_t mAttempt = 0;
};

} // namespace eelgrasspost::platform

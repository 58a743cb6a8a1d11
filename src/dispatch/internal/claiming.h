#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "eelgrasspost/base/bootclock.h"
#include "eelgrasspost/dispatch/dispatchtypes.h"

namespace eelgrasspost::dispatch {

/** A live entry that may claim cells. */
struct ClaimCandidate
{
  std::string mName;
  /** 0 until it is registered; it holds and claims nothing before. */
  std::uint64_t mIncarnation = 0;
  std::string mDomain;
  bool mIsLeaving = false;
  /** Number of cells that it holds. */
  std::size_t mHeldCells = 0;
  /** Processor cores that it may use. */
  double mCpuShare = 1;
};

/** Cluster state from which an entry decides which cells to claim. */
struct ClaimView
{
  std::string mMyName;
  std::uint64_t mMyIncarnation = 0;
  /** Live entries including this one. */
  std::vector<ClaimCandidate> mLive;
  std::vector<CellRow> mCells;
  /** Time since the rows of the cells were read. */
  std::map<std::string, Milliseconds> mSinceRead;
  /** Time since this entry started, and time since the last heartbeat from each
   * other domain. */
  Milliseconds mSinceStart{ 0 };
  std::map<std::string, Milliseconds> mSinceLastHeartbeat;
  /** Its own domain has an entry with a larger processor share from which it
   * has not received a heartbeat. */
  bool mAwaitsLargerEntry = false;
  /** Time for which cells whose rows name this incarnation of the entry have
   * had no holder, and the time after which the entry claims them again. */
  std::map<std::string, Milliseconds> mSinceHolderEnded;
  Milliseconds mUnheldClaimDelay{ 0 };
};

/** All live entries have sent a heartbeat by this time after the start. */
inline constexpr auto kClaimDelay = Milliseconds(1200);
/** Other domains claim the cells of a domain if none of its entries has sent a
 * heartbeat for this time; longer than partitions that heal by themselves. */
inline constexpr auto kForeignClaimDelay = Milliseconds(8000);

/** Returns the cells that this entry should claim now. */
auto CellsToClaim(const ClaimView& aView) -> std::vector<std::string>;

/** Until when a holder of a cell before its latest one may still act on its
 * claim, after the cell's row has changed to aNext. aIsHolderGone: the process
 * of the holder before the change has ended. */
auto EarlierHoldersActUntil(const CellRow& aNext,
                            bool aIsHolderGone,
                            base::BootTime aKnownUntil,
                            base::BootTime aNow) -> base::BootTime;

/** The times at which a cell changed hands lately. */
struct CellChanges
{
  std::deque<MonotonicTime> mTimes;
  MonotonicTime mToldAt{};
};

inline constexpr auto kUnstableWindow = Milliseconds(10000);
/** A restart of the holder and one of its successor cause two changes. */
inline constexpr std::size_t kMaxStableChanges = 4;

/** Returns whether an operator should be told of the changes: there are many,
 * and none was told for a while. */
auto NoteChange(CellChanges& aChanges, MonotonicTime aNow) -> bool;

/** A claim of a cell before its latest one. */
struct EarlierClaim
{
  /** Empty if the claim is not known. */
  std::string mHolder;
  std::uint64_t mHolderIncarnation = 0;
  std::uint64_t mVersion = 0;
  /** When the row that names it was read. */
  base::BootTime mReadAt{};
  /** Its holder acts on it until then at the latest. */
  base::BootTime mActsUntil{};
};

/** Returns since when a claim's holder is known not to act on it any more. */
using FindClaimEnd =
  std::function<std::optional<base::BootTime>(const EarlierClaim&)>;

/** Until when the holder of one of the claims may have acted or may act. */
auto EarlierClaimsEndAt(const std::vector<EarlierClaim>& aClaims,
                        const FindClaimEnd& aFindEnd) -> base::BootTime;

/** Whether this entry is the first choice for a cell of its own domain. */
auto IsFirstClaimant(const ClaimView& aView) -> bool;

/** Returns the cells held by this entry that an entry of their own domain
 * should hold. */
auto CellsToRelease(const ClaimView& aView) -> std::vector<std::string>;

/** Returns the cell to which a worker's hash assigns it in its domain. */
auto CellOfWorker(std::string_view aWorker, const LayoutRow& aLayout)
  -> std::string;

/** Number of cells for a domain with the given number of workers. aCpuShare:
 * the largest processor share of an entry that may hold them. Cells are as
 * large as a holder can serve: a task waits for a worker of its job's cell, and
 * the tasks of a wide step have to fit into one cell. */
auto CellCountFor(std::size_t aWorkers, double aCpuShare) -> std::uint32_t;

/** The largest processor share of a live entry in a domain; that of this entry
 * if there is none. */
auto LargestCpuShare(const ClaimView& aView, const std::string& aDomain)
  -> double;

auto HashOf(std::string_view aText) -> std::uint64_t;

} // namespace eelgrasspost::dispatch

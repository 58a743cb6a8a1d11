#pragma once

#include <map>
#include <string>
#include <vector>

#include "eelgrasspost/dispatch/dispatchtypes.h"

namespace eelgrasspost::dispatch {

/** An entry that may hold cells. */
struct ClaimCandidate
{
  std::string mName;
  std::uint64_t mIncarnation = 0;
  std::string mDomain;
  bool mIsLeaving = false;
  /** Cells that it holds. */
  std::size_t mHeldCells = 0;
};

/** What an entry knows when it decides on cells without a holder. */
struct ClaimView
{
  std::string mMyName;
  std::uint64_t mMyIncarnation = 0;
  /** Live entries, this one included. */
  std::vector<ClaimCandidate> mLive;
  std::vector<CellRow> mCells;
  /** Time since this entry started, and since each other domain's entries were
   * last heard. */
  Milliseconds mSinceStart{ 0 };
  std::map<std::string, Milliseconds> mDomainSilence;
};

/** Heartbeats of all entries have been heard by this time after the start. */
inline constexpr auto kClaimDelay = Milliseconds(1200);
/** Cells of a domain whose entries have all been silent for so long are taken
 * over by other domains; longer than cuts that heal by themselves. */
inline constexpr auto kForeignClaimDelay = Milliseconds(8000);

/** Names of the cells that this entry should claim now. */
auto CellsToClaim(const ClaimView& aView) -> std::vector<std::string>;

/** Cells held here that an entry of their own domain should hold. */
auto CellsToRelease(const ClaimView& aView) -> std::vector<std::string>;

/** The cell of a worker among the cells of its domain. */
auto CellOfWorker(std::string_view aWorker, const LayoutRow& aLayout)
  -> std::string;

/** Workers that one cell should have; a cell costs its holder about a
 * hundredth of a core for each two starts a second. */
inline constexpr std::size_t kWorkersPerCell = 24;

/** How many cells a domain with so many workers is divided into. */
auto CellCountFor(std::size_t aWorkers) -> std::uint32_t;

auto HashOf(std::string_view aText) -> std::uint64_t;

} // namespace eelgrasspost::dispatch

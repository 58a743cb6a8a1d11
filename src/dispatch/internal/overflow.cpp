#include "overflow.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "claiming.h"
#include "eelgrasspost/base/text.h"
#include "holdertimes.h"

namespace eelgrasspost::dispatch {

namespace {

using admission::JobDemand;
using admission::KindRate;
using admission::RoomKind;

/** A job is stored, and its cell's load measured, within this time. */
constexpr auto kReportDelay = kTickInterval + Milliseconds(100);
/** Cells that have not reported for this long are judged by the others. */
constexpr auto kMaxSentAge = Milliseconds(5000);
/** Reports of this age hold; the weight of older ones falls, */
constexpr auto kFreshAge = Milliseconds(500);
/** until those of this age have none. */
constexpr auto kOutdatedAge = Milliseconds(2000);
/** No job moves to a cell whose report is older. */
constexpr auto kMaxTargetAge = Milliseconds(1000);
/** What the messages between domains add to a job. */
constexpr auto kDistance = Milliseconds(50);
/** Message, transaction and decision of a move. */
constexpr auto kMoveTime = Milliseconds(150);
/** Smallest gain for which a job moves, and the smallest ratio of the waits. */
constexpr auto kMinGain = Milliseconds(500);
constexpr double kMinGainRatio = 2.0;
/** Waits that differ by less than this, and by less than this part of the
 * shortest one, are nearly equal. */
constexpr auto kNearlyEqual = Milliseconds(100);
constexpr double kNearlyEqualShare = 0.2;
/** Part of its cores with which a cell that has ended nothing lately is taken
 * to work. */
constexpr double kMinRateShare = 0.05;

auto RateOf(const CellStatus& aCell, RoomKind aKind) -> double
{
  const auto& rate =
    aKind == RoomKind::Reserved ? aCell.mLoad.mReserved : aCell.mLoad.mLeftover;
  return std::max(rate.mSaturatedRate.value_or(rate.mCores),
                  kMinRateShare * rate.mCores);
}

auto IsCandidate(const CellStatus& aCell) -> bool
{
  return aCell.mIsActive && !aCell.mIsClosed;
}

/** The weight of a cell's report against the mean of all. */
auto WeightOf(const CellStatus& aCell) -> double
{
  const std::chrono::duration<double> excess = aCell.mAge - kFreshAge;
  const std::chrono::duration<double> range = kOutdatedAge - kFreshAge;
  return std::clamp(1.0 - excess / range, 0.0, 1.0);
}

/** The wait by the cell's report and by what was sent there since. */
auto ReportedWait(const CellStatus& aCell,
                  const JobDemand& aDemand,
                  double aRate,
                  bool aIsLate) -> Milliseconds
{
  auto load = aCell.mLoad;
  load.mBacklogs.insert(load.mBacklogs.end(),
                        aCell.mSentBacklogs.begin(),
                        aCell.mSentBacklogs.end());
  const auto wait = admission::WaitAtRate(load, aDemand, aRate);
  return std::max(Milliseconds(0), aIsLate ? wait.mLate : wait.mInTime);
}

auto Scale(Milliseconds aTime, double aFactor) -> Milliseconds
{
  return Milliseconds(
    static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aFactor));
}

/** Time in which a cell starts the given work. */
auto TimeFor(double aCpuMs, double aRate) -> Milliseconds
{
  return Milliseconds(static_cast<std::int64_t>(aCpuMs / aRate));
}

/** Orders cells at random by job, so that each is the first one with a
 * probability that is proportional to its rate and falls with its wait; those
 * with much longer waits come after all others. Lower is earlier. */
auto RandomRank(const std::string& aJob,
                const std::string& aCell,
                const CellWait& aWait,
                Milliseconds aShortest) -> std::pair<double, double>
{
  constexpr double kMaxExcess = 3;
  constexpr std::uint64_t kSteps = 1'000'003;
  const auto uniform =
    (static_cast<double>(HashOf(base::Cat(aJob, "/", aCell)) % kSteps) + 0.5) /
    static_cast<double>(kSteps);
  const auto tolerance = kNearlyEqual + Scale(aShortest, kNearlyEqualShare);
  const auto excess = static_cast<double>((aWait.mWait - aShortest).count()) /
                      static_cast<double>(tolerance.count());
  // The smallest of exponential variables, by logarithms.
  return { excess > kMaxExcess ? excess : 0.0,
           std::log(-std::log(uniform)) - std::log(aWait.mRate) + excess };
}

/** Demand of the steps of a job that start first. */
struct FirstDemand
{
  std::int64_t mBestEffortCpuMillis = 0;
  /** Estimated CPU milliseconds. */
  double mCpuMs = 0;
};

auto FirstDemandOf(const cell::JobSpec& aJob) -> FirstDemand
{
  constexpr double kMillisPerCore = 1000;
  FirstDemand out;
  for (const auto& it : aJob.mSteps) {
    if (it.mAfter.empty()) {
      const auto cpuMillis = it.mNeed.mCpuMillis * it.mCount;
      out.mBestEffortCpuMillis += it.mIsBestEffort ? cpuMillis : 0;
      out.mCpuMs += static_cast<double>(cpuMillis) / kMillisPerCore *
                    static_cast<double>(it.mEstimatedMs);
    }
  }
  return out;
}

/** Share of a job's first tasks for which a cell reports room. */
auto RoomShare(const CellStatus& aCell,
               const cell::JobSpec& aJob,
               const FirstDemand& aDemand) -> double
{
  const auto left = aCell.mLeftoverCpuMillis - aCell.mBestEffortCpuMillis;
  const auto leftShare = aDemand.mBestEffortCpuMillis > 0
                           ? static_cast<double>(left) /
                               static_cast<double>(aDemand.mBestEffortCpuMillis)
                           : 1.0;
  return std::clamp(std::min(StartableShare(aCell, aJob), leftShare), 0.0, 1.0);
}

auto BacklogOf(const JobDemand& aDemand, double aTimes) -> admission::Backlog
{
  return { aDemand.mKind,
           aDemand.mPriority,
           admission::SizeClassOf(aDemand.mCpuMs),
           aTimes * aDemand.mCpuMs,
           0 };
}

} // namespace

auto AddSent(SentJobs& aSent,
             const std::string& aCell,
             const JobDemand& aDemand,
             double aTimes,
             MonotonicTime aNow) -> void
{
  auto& jobs = aSent[aCell];
  while (!jobs.empty() && aNow - jobs.front().mAt > kMaxSentAge) {
    jobs.pop_front();
  }
  jobs.push_back({ aNow, BacklogOf(aDemand, aTimes) });
}

auto RemoveReported(SentJobs& aSent,
                    const std::string& aCell,
                    MonotonicTime aNow) -> void
{
  const auto it = aSent.find(aCell);
  if (it == aSent.end()) {
    return;
  }
  auto& jobs = it->second;
  while (!jobs.empty() && aNow - jobs.front().mAt > kReportDelay) {
    jobs.pop_front();
  }
  if (jobs.empty()) {
    aSent.erase(it);
  }
}

auto SentBacklogs(const SentJobs& aSent, const std::string& aCell)
  -> std::vector<admission::Backlog>
{
  std::vector<admission::Backlog> out;
  const auto jobs = aSent.find(aCell);
  if (jobs == aSent.end()) {
    return out;
  }
  for (const auto& [at, work] : jobs->second) {
    const auto same = std::find_if(
      out.begin(), out.end(), [&, &work = work](const auto& aOther) {
        return aOther.mKind == work.mKind &&
               aOther.mPriority == work.mPriority &&
               aOther.mSizeClass == work.mSizeClass;
      });
    if (same == out.end()) {
      out.push_back(work);
    } else {
      same->mWaitingCpuMs += work.mWaitingCpuMs;
    }
  }
  return out;
}

auto ExpectedWaits(const std::vector<CellStatus>& aCells,
                   const JobDemand& aDemand,
                   const std::string& aDomain,
                   bool aIsLate) -> std::vector<CellWait>
{
  std::vector<CellWait> out(aCells.size());
  auto weights = 0.0;
  auto waits = 0.0;
  auto rates = 0.0;
  for (std::size_t i = 0; i < aCells.size(); ++i) {
    const auto rate = RateOf(aCells[i], aDemand.mKind);
    const auto weight = WeightOf(aCells[i]);
    if (rate <= 0) {
      continue;
    }
    out[i] = { ReportedWait(aCells[i], aDemand, rate, aIsLate), rate, true };
    if (IsCandidate(aCells[i])) {
      weights += weight;
      waits += weight * static_cast<double>(out[i].mWait.count());
      rates += weight * rate;
    }
  }
  const auto mean = CellWait{ Milliseconds(static_cast<std::int64_t>(
                                weights > 0 ? waits / weights : 0)),
                              weights > 0 ? rates / weights : 1.0,
                              false };
  for (std::size_t i = 0; i < aCells.size(); ++i) {
    const auto weight = out[i].mIsKnown ? WeightOf(aCells[i]) : 0.0;
    out[i].mWait =
      Scale(out[i].mWait, weight) + Scale(mean.mWait, 1.0 - weight);
    out[i].mRate = weight * out[i].mRate + (1.0 - weight) * mean.mRate;
    out[i].mIsKnown = out[i].mIsKnown && aCells[i].mAge <= kMaxTargetAge;
    if (!IsInDomain(aCells[i].mName, aDomain)) {
      out[i].mWait += kDistance;
    }
  }
  return out;
}

auto PlanOffersByWait(const std::vector<CellStatus>& aCells,
                      const cell::JobSpec& aJob,
                      const JobDemand& aDemand,
                      const std::string& aDomain) -> std::vector<Offer>
{
  auto out = PlanOffers(aCells, aJob, aDomain);
  auto waits = ExpectedWaits(aCells, aDemand, aDomain, false);
  const auto first = FirstDemandOf(aJob);
  auto isAnyKnown = false;
  auto canAnyStart = false;
  auto shortest = Milliseconds::max();
  for (std::size_t i = 0; i < aCells.size(); ++i) {
    if (IsCandidate(aCells[i])) {
      isAnyKnown = isAnyKnown || waits[i].mIsKnown;
      const auto share = RoomShare(aCells[i], aJob, first);
      canAnyStart = canAnyStart || share >= 1;
      waits[i].mWait += TimeFor((1 - share) * first.mCpuMs, waits[i].mRate);
      shortest = std::min(shortest, waits[i].mWait);
    }
  }
  const auto keepsOrder = aDemand.mKind == RoomKind::Leftover && canAnyStart;
  if (!isAnyKnown || keepsOrder) {
    return out;
  }
  std::vector<std::pair<std::pair<double, double>, const CellStatus*>> order;
  for (std::size_t i = 0; i < aCells.size(); ++i) {
    if (IsCandidate(aCells[i])) {
      order.emplace_back(
        RandomRank(aJob.mId, aCells[i].mName, waits[i], shortest), &aCells[i]);
    }
  }
  std::sort(order.begin(), order.end());
  // Cells that are asked whether they can start the job at once stay first,
  // inactive ones last.
  std::vector<Offer> last;
  const auto isActive = [&](const Offer& aOffer) {
    return std::any_of(order.begin(), order.end(), [&](const auto& aPair) {
      return aPair.second->mName == aOffer.mCell;
    });
  };
  std::copy_if(out.begin(),
               out.end(),
               std::back_inserter(last),
               [&](const Offer& aOffer) { return !isActive(aOffer); });
  std::erase_if(out,
                [](const Offer& aOffer) { return !aOffer.mMustStartAtOnce; });
  for (const auto& [rank, it] : order) {
    out.push_back({ it->mName, false });
  }
  out.insert(out.end(), last.begin(), last.end());
  return out;
}

namespace {

/** Whether a job that is started after aHere may move where it is started after
 * aThere. */
auto IsGain(Milliseconds aHere, Milliseconds aThere) -> bool
{
  const auto there = aThere + kMoveTime;
  return aHere - there >= kMinGain && aHere >= Scale(there, kMinGainRatio);
}

auto ChooseTarget(const std::vector<CellStatus>& aCells,
                  std::size_t aFrom,
                  const OverflowCandidate& aCandidate)
  -> std::optional<std::pair<std::size_t, OverflowMove>>
{
  const auto& job = aCandidate.mJob;
  const auto& demand = aCandidate.mDemand;
  const auto& name = aCells[aFrom].mName;
  const auto waits = ExpectedWaits(aCells,
                                   demand,
                                   name.substr(0, name.rfind('/')),
                                   job.mLateness == cell::Lateness::Late);
  if (!waits[aFrom].mIsKnown) {
    return std::nullopt;
  }
  const auto here = waits[aFrom].mWait;
  struct Target
  {
    std::size_t mIndex = 0;
    CellWait mWait;
    double mSenders = 1;
  };
  std::vector<Target> targets;
  auto shortest = Milliseconds::max();
  for (std::size_t i = 0; i < aCells.size(); ++i) {
    if (i == aFrom || !IsCandidate(aCells[i]) || !waits[i].mIsKnown ||
        job.mExcludedCells.contains(aCells[i].mName)) {
      continue;
    }
    // Other cells have the same reports, and so make the same choice.
    const auto senders =
      std::count_if(waits.begin(), waits.end(), [&](const CellWait& aOther) {
        return IsGain(aOther.mWait, waits[i].mWait);
      });
    auto there = waits[i];
    there.mWait +=
      TimeFor(static_cast<double>(senders) * demand.mCpuMs, there.mRate);
    if (senders > 0 && IsGain(here, there.mWait)) {
      targets.push_back({ i, there, static_cast<double>(senders) });
      shortest = std::min(shortest, there.mWait);
    }
  }
  const auto rank = [&](const Target& aTarget) {
    return RandomRank(
      job.mId, aCells[aTarget.mIndex].mName, aTarget.mWait, shortest);
  };
  const auto best = std::min_element(
    targets.begin(), targets.end(), [&](const auto& aLeft, const auto& aRight) {
      return rank(aLeft) < rank(aRight);
    });
  if (best == targets.end()) {
    return std::nullopt;
  }
  return std::pair(best->mIndex,
                   OverflowMove{ job,
                                 demand,
                                 aCells[best->mIndex].mName,
                                 here,
                                 best->mWait.mWait,
                                 best->mSenders });
}

} // namespace

auto PlanOverflow(std::vector<CellStatus> aCells,
                  const std::string& aFrom,
                  const std::vector<OverflowCandidate>& aCandidates,
                  std::size_t aMaxMoves) -> std::vector<OverflowMove>
{
  std::vector<OverflowMove> out;
  const auto from =
    std::find_if(aCells.begin(), aCells.end(), [&](const CellStatus& aCell) {
      return aCell.mName == aFrom;
    });
  if (from == aCells.end()) {
    return out;
  }
  const auto at = static_cast<std::size_t>(from - aCells.begin());
  for (const auto& it : aCandidates) {
    if (out.size() >= aMaxMoves) {
      break;
    }
    const auto target = ChooseTarget(aCells, at, it);
    if (!target) {
      continue;
    }
    const auto& [to, move] = *target;
    aCells[to].mSentBacklogs.push_back(BacklogOf(it.mDemand, move.mSenders));
    aCells[at].mSentBacklogs.push_back(BacklogOf(it.mDemand, -1));
    out.push_back(move);
  }
  return out;
}

} // namespace eelgrasspost::dispatch

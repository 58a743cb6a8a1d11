#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>
#include <random>
#include <set>

#include "eelgrasspost/base/text.h"
#include "internal/leaserules.h"

namespace {

using namespace eelgrasspost::ownership;
using eelgrasspost::base::Cat;
using eelgrasspost::platform::FencingToken;
using eelgrasspost::platform::VmRecord;
using eelgrasspost::platform::WorkerReport;

constexpr std::size_t kEntries = 3;
constexpr std::int64_t kSlots = 3;
constexpr int kSteps = 30000;

/** A request on its way, in the worker, or answered. */
struct Attempt
{
  std::string mId;
  std::size_t mEntry = 0;
  WorkerLeasePtr mLease;
  FencingToken mToken;
  bool mIsConnected = true;
};

/** An answer of the worker's agent on its way to an entry. */
struct Answer
{
  WorkerReport mReport;
  std::optional<FencePlan> mFence;
  std::optional<FencingToken> mClaim;
  bool mIsFenced = false;
};

/** A call of an entry on its way to the worker's agent. */
struct Call
{
  std::optional<FencePlan> mFence;
  std::optional<FencingToken> mClaim;
};

struct EntryModel
{
  std::string mHolder;
  WorkerLeasePtr mLease;
  std::uint64_t mHighestTokenSeen = 0;
  std::optional<Call> mCall;
  std::optional<Answer> mAnswer;
};

/**
 * One worker and entries that claim it, renew, fence and send requests. Every
 * message may be delayed for any time, or its sender may give up waiting.
 */
struct OwnershipModel
{
  explicit OwnershipModel(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    mWorker.mId = "worker-1";
    mWorker.mSlots = kSlots;
    for (std::size_t i = 0; i < kEntries; ++i) {
      mEntries[i].mHolder = Cat("entry-", i, "/1");
    }
  }

  auto Pick(std::size_t aCount) -> std::size_t { return mRandom() % aCount; }

  auto Report() const -> WorkerReport
  {
    WorkerReport out;
    out.mIncarnation = Cat("boot-", mBoots);
    out.mHighestToken = mHighest;
    for (const auto& [id, attempt] : mRunning) {
      out.mRequests.push_back(id);
    }
    return out;
  }

  auto SendCall(EntryModel& aEntry) -> void
  {
    if (aEntry.mCall || aEntry.mAnswer) {
      return;
    }
    Call call;
    if (aEntry.mLease && aEntry.mLease->mLedger.HasUnfencedAttempts() &&
        Pick(2) == 0) {
      call.mFence = PlanFence(*aEntry.mLease);
      aEntry.mHighestTokenSeen =
        std::max(aEntry.mHighestTokenSeen, call.mFence->mToken.mNumber);
    } else if (!aEntry.mLease && Pick(4) == 0) {
      call.mClaim = FencingToken{ ++aEntry.mHighestTokenSeen, aEntry.mHolder };
    }
    aEntry.mCall = call;
  }

  auto DeliverCall(EntryModel& aEntry) -> void
  {
    if (!aEntry.mCall) {
      return;
    }
    const auto call = *aEntry.mCall;
    aEntry.mCall.reset();
    Answer answer{ {}, call.mFence, call.mClaim, false };
    const auto replaced = mHighest;
    const auto* token = call.mFence ? &call.mFence->mToken : nullptr;
    token = call.mClaim ? &*call.mClaim : token;
    if (token != nullptr && *token < mHighest) {
      answer.mIsFenced = true;
    } else if (token != nullptr) {
      mHighest = *token;
    }
    answer.mReport = Report();
    answer.mReport.mReplacedToken = replaced;
    if (Pick(8) != 0) {
      aEntry.mAnswer = answer;
    }
  }

  auto TakeAnswer(EntryModel& aEntry) -> void
  {
    if (!aEntry.mAnswer) {
      return;
    }
    const auto answer = *aEntry.mAnswer;
    aEntry.mAnswer.reset();
    const auto& report = answer.mReport;
    aEntry.mHighestTokenSeen =
      std::max(aEntry.mHighestTokenSeen, report.mHighestToken.mNumber);
    if (answer.mClaim && !answer.mIsFenced) {
      aEntry.mLease = MakeLease(mWorker, *answer.mClaim, report);
      return;
    }
    if (!aEntry.mLease) {
      // A claim whose answer was lost is settled by reading.
      if (report.mHighestToken.mHolder == aEntry.mHolder && !answer.mIsFenced) {
        aEntry.mLease = MakeLease(mWorker, report.mHighestToken, report);
      }
      return;
    }
    auto outcome = RenewalOutcome::Fenced;
    if (!answer.mIsFenced) {
      outcome = answer.mFence
                  ? ApplyFenceReport(*aEntry.mLease, *answer.mFence, report)
                  : ApplyReport(*aEntry.mLease, report);
    }
    if (outcome != RenewalOutcome::Renewed) {
      aEntry.mLease->mLedger.Close();
      aEntry.mLease.reset();
    }
    if (outcome == RenewalOutcome::Reclaimed) {
      aEntry.mLease = MakeLease(mWorker, report.mHighestToken, report);
    }
  }

  auto Dispatch(std::size_t aEntry) -> void
  {
    const auto lease = mEntries[aEntry].mLease;
    if (lease && lease->mLedger.TryReserve()) {
      const auto id = Cat("a", ++mAttempts);
      mOnTheWay[id] = { id, aEntry, lease, lease->Token(), true };
    }
  }

  auto Arrive(const std::string& aId) -> void
  {
    auto attempt = mOnTheWay[aId];
    mOnTheWay.erase(aId);
    if (attempt.mToken == mHighest) {
      mRunning[aId] = attempt;
      mMost = std::max(mMost, static_cast<std::int64_t>(mRunning.size()));
    } else if (attempt.mIsConnected) {
      attempt.mLease->mLedger.Release();
    }
  }

  auto End(const std::string& aId) -> void
  {
    const auto attempt = mRunning[aId];
    mRunning.erase(aId);
    if (attempt.mIsConnected) {
      attempt.mLease->mLedger.Release();
    }
  }

  /** The sender gives up waiting; the request goes on. */
  static auto TimeOut(Attempt& aAttempt) -> void
  {
    if (aAttempt.mIsConnected) {
      aAttempt.mIsConnected = false;
      aAttempt.mLease->mLedger.AddUnknownAttempt(aAttempt.mId);
    }
  }

  auto Restart() -> void
  {
    ++mBoots;
    mHighest = {};
    for (auto& [id, attempt] : mRunning) {
      if (attempt.mIsConnected) {
        attempt.mLease->mLedger.Release();
      }
    }
    mRunning.clear();
  }

  auto PickKey(const std::map<std::string, Attempt>& aMap) -> std::string
  {
    return std::next(aMap.begin(), static_cast<long>(Pick(aMap.size())))->first;
  }

  auto Step() -> void
  {
    auto& entry = mEntries[Pick(kEntries)];
    switch (Pick(12)) {
      case 0:
        SendCall(entry);
        break;
      case 1:
        DeliverCall(entry);
        break;
      case 2:
        TakeAnswer(entry);
        break;
      case 3:
        if (Pick(200) == 0) {
          Restart();
        }
        break;
      case 4:
        if (!mOnTheWay.empty()) {
          TimeOut(mOnTheWay[PickKey(mOnTheWay)]);
        }
        break;
      case 5:
        if (!mRunning.empty()) {
          TimeOut(mRunning[PickKey(mRunning)]);
        }
        break;
      case 6:
        if (!mRunning.empty()) {
          End(PickKey(mRunning));
        }
        break;
      case 7:
      case 8:
        if (!mOnTheWay.empty()) {
          Arrive(PickKey(mOnTheWay));
        }
        break;
      default:
        Dispatch(Pick(kEntries));
    }
  }

  std::mt19937_64 mRandom;
  VmRecord mWorker;
  std::array<EntryModel, kEntries> mEntries;
  FencingToken mHighest;
  int mBoots = 1;
  int mAttempts = 0;
  std::map<std::string, Attempt> mOnTheWay;
  std::map<std::string, Attempt> mRunning;
  std::int64_t mMost = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ownershipmodel)

BOOST_AUTO_TEST_CASE(entries_claiming_one_worker_at_random_never_exceed_slots)
{
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    auto model = OwnershipModel(seed);
    for (int i = 0; i < kSteps && model.mMost <= kSlots; ++i) {
      model.Step();
    }
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      BOOST_TEST(model.mMost == kSlots);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

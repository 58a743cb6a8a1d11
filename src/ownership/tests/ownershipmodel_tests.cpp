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

/** A request that is in transit or running on the worker. */
struct Attempt
{
  std::string mId;
  std::size_t mEntry = 0;
  WorkerLeasePtr mLease;
  FencingToken mToken;
  bool mIsConnected = true;
};

/** A response of the worker's agent in transit to an entry. */
struct Response
{
  WorkerReport mReport;
  std::optional<FencePlan> mFence;
  std::optional<FencingToken> mClaim;
  bool mIsFenced = false;
};

/** A call of an entry in transit to the worker's agent. */
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
  std::optional<Response> mResponse;
};

/**
 * Model of one worker and several entries that claim it, renew their leases,
 * fence and send requests. Each message may be delayed for any time, and each
 * sender may time out while its request goes on.
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

  auto RandomBelow(std::size_t aCount) -> std::size_t
  {
    return mRandom() % aCount;
  }

  auto Report() const -> WorkerReport
  {
    WorkerReport out;
    out.mIncarnation = Cat("boot-", mBootCount);
    out.mHighestToken = mHighest;
    for (const auto& [id, attempt] : mRunning) {
      out.mRequests.push_back(id);
    }
    return out;
  }

  auto SendCall(EntryModel& aEntry) -> void
  {
    if (aEntry.mCall || aEntry.mResponse) {
      return;
    }
    Call call;
    if (aEntry.mLease && aEntry.mLease->mLedger.HasUnfencedAttempts() &&
        RandomBelow(2) == 0) {
      call.mFence = PlanFence(*aEntry.mLease);
      aEntry.mHighestTokenSeen =
        std::max(aEntry.mHighestTokenSeen, call.mFence->mToken.mNumber);
    } else if (!aEntry.mLease && RandomBelow(4) == 0) {
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
    Response response{ {}, call.mFence, call.mClaim, false };
    const auto replaced = mHighest;
    const auto* token = call.mFence ? &call.mFence->mToken : nullptr;
    token = call.mClaim ? &*call.mClaim : token;
    if (token != nullptr && *token < mHighest) {
      response.mIsFenced = true;
    } else if (token != nullptr) {
      mHighest = *token;
    }
    response.mReport = Report();
    response.mReport.mReplacedToken = replaced;
    if (RandomBelow(8) != 0) {
      aEntry.mResponse = response;
    }
  }

  auto HandleResponse(EntryModel& aEntry) -> void
  {
    if (!aEntry.mResponse) {
      return;
    }
    const auto response = *aEntry.mResponse;
    aEntry.mResponse.reset();
    const auto& report = response.mReport;
    aEntry.mHighestTokenSeen =
      std::max(aEntry.mHighestTokenSeen, report.mHighestToken.mNumber);
    if (response.mClaim && !response.mIsFenced) {
      aEntry.mLease = MakeLease(mWorker, *response.mClaim, report);
      return;
    }
    if (!aEntry.mLease) {
      // A claim whose response was lost is resolved by a report.
      if (report.mHighestToken.mHolder == aEntry.mHolder &&
          !response.mIsFenced) {
        aEntry.mLease = MakeLease(mWorker, report.mHighestToken, report);
      }
      return;
    }
    auto outcome = RenewalOutcome::Fenced;
    if (!response.mIsFenced) {
      outcome = response.mFence
                  ? ApplyFenceReport(*aEntry.mLease, *response.mFence, report)
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
      mInTransit[id] = { id, aEntry, lease, lease->Token(), true };
    }
  }

  auto DeliverRequest(const std::string& aId) -> void
  {
    auto attempt = mInTransit[aId];
    mInTransit.erase(aId);
    if (attempt.mToken == mHighest) {
      mRunning[aId] = attempt;
      mMaxRunning =
        std::max(mMaxRunning, static_cast<std::int64_t>(mRunning.size()));
    } else if (attempt.mIsConnected) {
      attempt.mLease->mLedger.Release();
    }
  }

  auto FinishRequest(const std::string& aId) -> void
  {
    const auto attempt = mRunning[aId];
    mRunning.erase(aId);
    if (attempt.mIsConnected) {
      attempt.mLease->mLedger.Release();
    }
  }

  /** The sender times out; the request goes on. */
  static auto TimeOutSender(Attempt& aAttempt) -> void
  {
    if (aAttempt.mIsConnected) {
      aAttempt.mIsConnected = false;
      aAttempt.mLease->mLedger.AddUnknownAttempt(aAttempt.mId);
    }
  }

  auto RestartWorker() -> void
  {
    ++mBootCount;
    mHighest = {};
    for (auto& [id, attempt] : mRunning) {
      if (attempt.mIsConnected) {
        attempt.mLease->mLedger.Release();
      }
    }
    mRunning.clear();
  }

  auto RandomKey(const std::map<std::string, Attempt>& aMap) -> std::string
  {
    return std::next(aMap.begin(), static_cast<long>(RandomBelow(aMap.size())))
      ->first;
  }

  auto Step() -> void
  {
    auto& entry = mEntries[RandomBelow(kEntries)];
    switch (RandomBelow(12)) {
      case 0:
        SendCall(entry);
        break;
      case 1:
        DeliverCall(entry);
        break;
      case 2:
        HandleResponse(entry);
        break;
      case 3:
        if (RandomBelow(200) == 0) {
          RestartWorker();
        }
        break;
      case 4:
        if (!mInTransit.empty()) {
          TimeOutSender(mInTransit[RandomKey(mInTransit)]);
        }
        break;
      case 5:
        if (!mRunning.empty()) {
          TimeOutSender(mRunning[RandomKey(mRunning)]);
        }
        break;
      case 6:
        if (!mRunning.empty()) {
          FinishRequest(RandomKey(mRunning));
        }
        break;
      case 7:
      case 8:
        if (!mInTransit.empty()) {
          DeliverRequest(RandomKey(mInTransit));
        }
        break;
      default:
        Dispatch(RandomBelow(kEntries));
    }
  }

  std::mt19937_64 mRandom;
  VmRecord mWorker;
  std::array<EntryModel, kEntries> mEntries;
  FencingToken mHighest;
  int mBootCount = 1;
  int mAttempts = 0;
  std::map<std::string, Attempt> mInTransit;
  std::map<std::string, Attempt> mRunning;
  std::int64_t mMaxRunning = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ownershipmodel)

BOOST_AUTO_TEST_CASE(entries_with_random_delays_and_claims_never_exceed_slots)
{
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    auto model = OwnershipModel(seed);
    for (int i = 0; i < kSteps && model.mMaxRunning <= kSlots; ++i) {
      model.Step();
    }
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      BOOST_TEST(model.mMaxRunning == kSlots);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

#pragma once

#include "holderfixture.h"
#include "internal/callerhandler.h"
#include "internal/holdertimes.h"

namespace eelgrasspost::dispatch::testing {

/** The target of a request is a job's id. The response's status is the number
 * of its outcome. */
class CallerFormats final : public IFormats
{
public:
  cell::Queue mQueue;
  /** Decoded from each submission, apart from the id. */
  cell::JobSpec mSpec;
  Milliseconds mTimeout{ 3000 };

  auto ConfigurationTable() const -> std::string override { return "settings"; }
  auto ConfigurationKey() const -> std::string override { return "current"; }
  auto DecodeEvacuation(std::string_view) const
    -> std::optional<std::string> override
  {
    return std::nullopt;
  }
  auto WorkerTable() const -> std::string override { return "workers"; }
  auto DecodeConfiguration(std::string_view) const
    -> absl::StatusOr<Configuration> override
  {
    return Configuration{};
  }
  auto DecodeWorker(std::string_view, std::string_view) const
    -> absl::StatusOr<cell::WorkerRecord> override
  {
    return absl::UnimplementedError("no workers are listed");
  }
  auto DecodeRequest(const net::HttpRequest& aRequest,
                     const Configuration&) const
    -> std::optional<CallerRequest> override
  {
    CallerRequest out;
    out.mKind = aRequest.mMethod == "POST"     ? CallerRequestKind::Submit
                : aRequest.mMethod == "DELETE" ? CallerRequestKind::Cancel
                                               : CallerRequestKind::GetState;
    out.mQueue = &mQueue;
    out.mJobId = aRequest.mTarget;
    out.mTimeout = mTimeout;
    return out;
  }
  auto DecodeJob(std::string_view aId, std::string_view) const
    -> absl::StatusOr<cell::JobSpec> override
  {
    auto out = mSpec;
    out.mId = std::string(aId);
    return out;
  }
  auto EncodeResponse(const CallerResponse& aResponse) const
    -> net::HttpResponse override
  {
    return { static_cast<unsigned>(aResponse.mOutcome), {}, {} };
  }
};

/** Cells "a/0" and "b/0", and an entry that accepts requests for jobs. Runs
 * that are to be stopped end at once. */
struct CallersAndCells : HolderFixture
{
  static constexpr const char* kId = "000000000000000a";
  /** As many as the holders of the fixture use. */
  static constexpr std::uint32_t kPartitions = 2;
  /** Time within which the tasks of a cancelled job have to be gone. */
  static constexpr auto kCancelLimit = Milliseconds(3000);
  const std::string mTask = std::string(kId) + ".0.0.0";

  CallerFormats mFormats;
  std::unique_ptr<CallerHandler> mHandler;
  std::shared_ptr<CellHolder> mFirst;
  std::shared_ptr<CellHolder> mSecond;
  /** The cells that the entry offers jobs to. */
  std::vector<std::string> mOffered{ "a/0" };
  /** Evacuations close all of them. */
  bool mAreClosed = false;
  admission::CellLoad mLoad;
  /** Backlogs of single cells. */
  std::map<std::string, std::vector<admission::Backlog>> mBacklogs;
  bool mIsOver = false;

  /** See DispatchSettings. */
  explicit CallersAndCells(std::int64_t aSettleMs = 0,
                           bool aHasAdmission = false,
                           bool aHasOverflow = false)
  {
    const auto submission = MakeSubmission(kId);
    mFormats.mQueue = submission.mJob.mQueue;
    mFormats.mSpec = submission.mJob.mSpec;
    mFirst = MakeHolder(1);
    mSecond = MakeHolder(1, "b/0", { "w2" });
    BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 2; }));
    Do([&] { mCells = { { "a/0", mFirst }, { "b/0", mSecond } }; });
    mHandler = std::make_unique<CallerHandler>(CallerHandlerContext{
      mFormats,
      mStore,
      mMetrics,
      mLog,
      [] { return kPartitions; },
      "a",
      [] { return std::make_shared<const Configuration>(); },
      [this] { return OfferedCells(); },
      [this](JobCommand aCommand) { return mExecute(std::move(aCommand)); },
      [](const std::string&) { return std::uint64_t{ 0 }; },
      aSettleMs,
      aHasAdmission,
      aHasOverflow });
    mPool.Spawn(mPool.Executor(0), EndStoppedRuns());
  }

  ~CallersAndCells()
  {
    Do([&] {
      mIsOver = true;
      for (const auto& [name, it] : mCells) {
        it->End();
      }
    });
    StopPool();
  }

  auto OfferedCells() const -> std::vector<CellStatus>
  {
    std::vector<CellStatus> out;
    for (const auto& it : mOffered) {
      CellStatus status;
      status.mName = it;
      status.mIsActive = true;
      status.mIsClosed = mAreClosed;
      status.mLoad = mLoad;
      if (const auto backlogs = mBacklogs.find(it);
          backlogs != mBacklogs.end()) {
        status.mLoad.mBacklogs = backlogs->second;
      }
      status.mCapacityCpuMillis = 16000;
      status.mFreeCpuMillis = 16000;
      out.push_back(status);
    }
    return out;
  }

  auto EndStoppedRuns() -> net::Task<void>
  {
    std::size_t handled = 0;
    while (!mIsOver) {
      for (; handled < mWorkers.mStops.size(); ++handled) {
        const auto& stop = mWorkers.mStops[handled];
        const auto it = mWorkers.mRunning.find(stop.mTask);
        if (it != mWorkers.mRunning.end() &&
            it->second.mAttempt == stop.mAttempt) {
          mWorkers.End(stop.mTask, cell::EndKind::Stopped);
        }
      }
      co_await net::Sleep(Milliseconds(5));
    }
  }

  /** Sends a request; aTimeout: how long the caller waits for the response. */
  auto Request(const std::string& aMethod,
               Milliseconds aTimeout,
               const std::string& aId = kId) -> CallerOutcome
  {
    Do([&] { mFormats.mTimeout = aTimeout; });
    net::HttpRequest request;
    request.mMethod = aMethod;
    request.mTarget = aId;
    return static_cast<CallerOutcome>(
      Wait(mHandler->HandleRequest(std::move(request))).mStatus);
  }

  auto SubmitAndStart() -> void
  {
    BOOST_REQUIRE(
      (Request("POST", Milliseconds(3000)) == CallerOutcome::Accepted));
    BOOST_REQUIRE(Until([&] { return mWorkers.mRunning.contains(mTask); }));
  }

  /** Whether the job is cancelled and its task is gone within the limit and
   * stays away. */
  auto IsCancelledWithinLimit() -> bool
  {
    Wait(net::Sleep(kCancelLimit), true);
    std::size_t starts = 0;
    auto isGone = false;
    Do([&] {
      isGone = !mWorkers.mRunning.contains(mTask);
      starts = mWorkers.CountStarts(mTask);
    });
    Wait(net::Sleep(Milliseconds(1000)), true);
    Do([&] {
      isGone = isGone && !mWorkers.mRunning.contains(mTask) &&
               mWorkers.CountStarts(mTask) == starts;
    });
    return isGone;
  }
};

} // namespace eelgrasspost::dispatch::testing

#define BOOST_TEST_MODULE dispatch_cancellation_events
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "cancellationfixture.h"
#include "randomevents.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::CallerFormats;
using dispatch::testing::FakeFault;
using dispatch::testing::RandomEvents;

constexpr auto kEventsFor = Milliseconds(14000);
/** Time after the last event in which cancellations are certain and the tasks
 * of cancelled jobs are gone. */
constexpr auto kQuietTime = Milliseconds(9000);
/** No task of a job starts later than this after its cancellation was
 * acknowledged, or has waited for kAckTimeout. */
constexpr auto kCancelLimit = Milliseconds(3000);
constexpr auto kAckTimeout = Milliseconds(4000);
/** Time after which a caller gives up; it does not ask again. */
constexpr auto kCallerTimeout = Milliseconds(300);
constexpr std::size_t kMaxJobs = 8;

/** Callers that submit long-running jobs and cancel them, and cells in which
 * their tasks are hosted, returned and migrated, among random events. */
struct RandomCancellations
{
  struct Cancellation
  {
    MonotonicTime mSentAt;
    std::optional<MonotonicTime> mAcknowledgedAt;
  };

  CallerFormats mFormats;
  std::unique_ptr<CallerHandler> mHandler;
  /** Accepted jobs that are not cancelled. */
  std::vector<std::string> mJobs;
  std::map<std::string, Cancellation> mCancellations;
  std::size_t mJobCount = 0;
  std::size_t mCheckedStarts = 0;
  std::size_t mHostedCancellations = 0;
  std::vector<std::string> mFaultsFound;
  bool mIsWatching = true;
  bool mHasStopped = false;
  /** Destroyed first, as its pool runs the tasks that use the others. */
  RandomEvents mCells;

  explicit RandomCancellations(std::uint32_t aSeed)
    : mCells(aSeed)
  {
    mFormats.mTimeout = kCallerTimeout;
    mFormats.mQueue = RandomEvents::MakeSubmission("").mJob.mQueue;
    mHandler = std::make_unique<CallerHandler>(CallerHandlerContext{
      mFormats,
      mCells.mStore,
      mCells.mMetrics,
      mCells.mLog,
      [] { return 2U; },
      "a",
      [] { return std::make_shared<const Configuration>(); },
      [this] { return StatusOfCells(); },
      [this](JobCommand aCommand) {
        return mCells.ExecuteInCell(std::move(aCommand));
      },
      [](const std::string&) { return std::uint64_t{ 0 }; } });
    mCells.Do([&] {
      mCells.mFindEmptier = [this](const std::string& aFrom,
                                   const cell::MigratableJob&) {
        return mCells.Random(0, 3) == 0 ? AnyOtherCell(aFrom) : std::nullopt;
      };
      mCells.mPool.Spawn(mCells.mPool.Executor(0), Watch());
    });
  }

  ~RandomCancellations()
  {
    mCells.Do([&] { mIsWatching = false; });
    mCells.Until([&] { return mHasStopped; });
  }

  auto AnyOtherCell(const std::string& aFrom) -> std::optional<std::string>
  {
    auto name = mCells.Pick(mCells.mCells).first;
    return name == aFrom ? std::nullopt : std::optional(std::move(name));
  }

  auto StatusOfCells() const -> std::vector<CellStatus>
  {
    std::vector<CellStatus> out;
    out.reserve(mCells.mCells.size());
    for (const auto& [name, it] : mCells.mCells) {
      out.push_back(it->GetStatus());
    }
    return out;
  }

  static auto JobOf(const std::string& aTask) -> std::string
  {
    return aTask.substr(0, aTask.find('.'));
  }

  auto Send(const std::string& aMethod, const std::string& aId)
    -> net::Task<CallerOutcome>
  {
    net::HttpRequest request;
    request.mMethod = aMethod;
    request.mTarget = aId;
    const auto response = co_await mHandler->HandleRequest(std::move(request));
    co_return static_cast<CallerOutcome>(response.mStatus);
  }

  auto SubmitJob() -> net::Task<void>
  {
    auto id = std::to_string(2'000'000'000'000'000U + ++mJobCount);
    const auto count = static_cast<std::uint32_t>(mCells.Random(2, 6));
    auto spec =
      mCells.MakeJob(id, count, mCells.Random(7, 10) * 1000).mJob.mSpec;
    spec.mSteps[0].mIsLongRunning = true;
    mFormats.mSpec = std::move(spec);
    if (co_await Send("POST", id) == CallerOutcome::Accepted) {
      mJobs.push_back(std::move(id));
    }
  }

  auto TakeJob() -> std::string
  {
    const auto index =
      mCells.Random(0, static_cast<std::int64_t>(mJobs.size()) - 1);
    auto out = mJobs[static_cast<std::size_t>(index)];
    mJobs.erase(mJobs.begin() + index);
    return out;
  }

  auto CancelJob(std::string aId) -> net::Task<void>
  {
    mCells.Note("cancel " + aId);
    mCancellations[aId].mSentAt = base::MonotonicClock::now();
    mHostedCancellations += IsHosted(aId) ? 1 : 0;
    const auto outcome = co_await Send("DELETE", aId);
    if (outcome == CallerOutcome::Cancelled ||
        outcome == CallerOutcome::UnknownJob) {
      mCancellations[aId].mAcknowledgedAt = base::MonotonicClock::now();
    }
  }

  auto IsHosted(const std::string& aId) const -> bool
  {
    return std::any_of(
      mCells.mCells.begin(), mCells.mCells.end(), [&](const auto& aItem) {
        auto& state = const_cast<cell::CellState&>(aItem.second->State());
        const auto* job = cell::FindJob(state, aId);
        return job && cell::IsHostedJob(*job);
      });
  }

  auto EndRun() -> void
  {
    std::vector<std::string> tasks;
    for (const auto& [task, row] : mCells.mWorkers.mRunning) {
      if (!task.starts_with('f')) {
        tasks.push_back(task);
      }
    }
    if (!tasks.empty()) {
      const auto task = mCells.Pick(tasks);
      mCells.Note(task + " fails");
      mCells.mWorkers.End(task, cell::EndKind::Failed);
    }
  }

  auto HoldOrders() -> void
  {
    const auto worker = mCells.Pick(mCells.mCellOf).first;
    mCells.Note(worker + " holds its orders");
    mCells.mWorkers.mHoldingWorkers.insert(worker);
    mCells.After(mCells.Random(100, 600), [this, worker] {
      mCells.mWorkers.mHoldingWorkers.erase(worker);
    });
    mCells.After(mCells.Random(1000, 5000), [this, worker] {
      mCells.Note(worker + " executes the orders that it held");
      mCells.mWorkers.ExecuteHeldOrders(worker);
    });
  }

  auto DelayWrite() -> void
  {
    mCells.Note("a write is executed late, without a reply");
    mCells.mStore.mFaults.push_back(FakeFault::ApplyLate);
    mCells.After(mCells.Random(1000, 5000),
                 [this] { mCells.mStore.ApplyLateCalls(); });
  }

  auto MakeEvent() -> void
  {
    auto& pool = mCells.mPool;
    switch (mCells.Random(0, 9)) {
      case 0:
        return HoldOrders();
      case 8:
        return EndRun();
      case 9:
        return mCells.ChangeHolder();
      case 1:
        return DelayWrite();
      case 2:
      case 3:
        return mCells.MakeEvent();
      default:
        if (mJobs.size() >= kMaxJobs ||
            (!mJobs.empty() && mCells.Random(0, 1) == 0)) {
          pool.Spawn(pool.Executor(0), CancelJob(TakeJob()));
        } else {
          pool.Spawn(pool.Executor(0), SubmitJob());
        }
    }
  }

  /** When no task of a cancelled job may start any more. */
  static auto StartsEndAt(const Cancellation& aCancellation) -> MonotonicTime
  {
    const auto inForceAt = aCancellation.mAcknowledgedAt.value_or(
      aCancellation.mSentAt + kAckTimeout);
    return inForceAt + kCancelLimit;
  }

  auto Watch() -> net::Task<void>
  {
    while (mIsWatching) {
      const auto now = base::MonotonicClock::now();
      const auto& starts = mCells.mWorkers.mStarts;
      for (; mCheckedStarts < starts.size(); ++mCheckedStarts) {
        const auto& task = starts[mCheckedStarts].mTask;
        const auto it = mCancellations.find(JobOf(task));
        if (it != mCancellations.end() && now > StartsEndAt(it->second)) {
          Report(task, "starts");
        }
      }
      co_await net::Sleep(Milliseconds(10));
    }
    mHasStopped = true;
  }

  auto CheckRunning() -> void
  {
    for (const auto& [task, row] : mCells.mWorkers.mRunning) {
      if (mCancellations.contains(JobOf(task))) {
        Report(task, "still runs");
      }
    }
  }

  auto Report(const std::string& aTask, const std::string& aWhat) -> void
  {
    const auto& cancellation = mCancellations.at(JobOf(aTask));
    const auto ago = std::chrono::duration_cast<Milliseconds>(
      base::MonotonicClock::now() - cancellation.mSentAt);
    auto text = "\n" + aTask + " " + aWhat + " on " +
                mCells.mWorkers.mWorkerOf.at(aTask) + ", cancelled " +
                std::to_string(ago.count()) + " ms ago (" +
                (cancellation.mAcknowledgedAt ? "" : "not ") + "acknowledged)";
    for (const auto& holder : mCells.mHolders) {
      auto& state = const_cast<cell::CellState&>(holder->State());
      const auto* task = cell::FindTask(state, aTask);
      if (task && holder->Phase() != HolderPhase::Ended) {
        text += "\n  " + holder->Name() + ": phase " +
                std::to_string(static_cast<int>(task->mPhase)) + ", host '" +
                task->mHostCell + "', hosted " +
                std::to_string(cell::IsHostedJob(*task->mJob)) + ", state " +
                std::to_string(static_cast<int>(task->mJob->mState)) +
                ", dirty " + std::to_string(task->mJob->mIsDirty) +
                ", migrating " + std::to_string(task->mJob->mIsMigrating);
      }
    }
    mFaultsFound.push_back(std::move(text));
  }
};

auto TestSeed(std::uint32_t aSeed) -> void
{
  RandomCancellations callers(aSeed);
  auto& cells = callers.mCells;
  const auto end = base::MonotonicClock::now() + kEventsFor;
  while (base::MonotonicClock::now() < end) {
    std::int64_t wait = 0;
    cells.Do([&] {
      callers.MakeEvent();
      wait = cells.Random(20, 120);
    });
    cells.Wait(net::Sleep(Milliseconds(wait)), true);
  }
  cells.Wait(net::Sleep(kQuietTime), true);
  cells.Do([&] {
    callers.CheckRunning();
    std::size_t acknowledged = 0;
    for (const auto& [id, it] : callers.mCancellations) {
      acknowledged += it.mAcknowledgedAt ? 1 : 0;
    }
    BOOST_TEST_MESSAGE(
      "seed " << aSeed << ": " << callers.mJobCount << " jobs, "
              << callers.mCancellations.size() << " cancellations, "
              << acknowledged << " acknowledged, "
              << callers.mHostedCancellations << " of jobs with hosted tasks");
    for (const auto& it : cells.mEvents) {
      BOOST_TEST_MESSAGE(it);
    }
    for (const auto& it : callers.mFaultsFound) {
      BOOST_ERROR(it);
    }
    BOOST_TEST(callers.mCancellations.size() > 0U);
  });
}

} // namespace

// Guards against tasks of cancelled jobs that start or go on in any cell.
BOOST_TEST_DECORATOR(*boost::unit_test::timeout(60))
BOOST_DATA_TEST_CASE(random_events_tasks_of_cancelled_jobs_are_gone,
                     boost::unit_test::data::make({ 1, 2, 3 }),
                     seed)
{
  // A number after "--" is added, to try other seeds.
  const auto& suite = boost::unit_test::framework::master_test_suite();
  const auto offset = suite.argc > 1 ? std::stoi(suite.argv[1]) : 0;
  TestSeed(static_cast<std::uint32_t>(seed + offset));
}

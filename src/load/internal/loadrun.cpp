#include "eelgrasspost/load/loadrun.h"

#include <algorithm>
#include <atomic>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::load {

namespace asio = net::asio;

namespace {

/** How long the run waits for an answer after its deadline. */
constexpr auto kAnswerGrace = base::Milliseconds(1000);
constexpr auto kStartDelay = base::Milliseconds(50);
constexpr std::size_t kMaxIdleConnections = 4096;
constexpr unsigned kFirstErrorStatus = 400;

/** One run. Each thread has its own results. */
struct Run
{
  Run(const LoadPlan& aPlan, net::IoPool& aPool)
    : mPlan(aPlan)
    , mPool(aPool)
    , mArrivals(MakeArrivals(aPlan.mSteps, aPlan.mSeed))
    , mClient(aPlan.mThreads, { "", kMaxIdleConnections, 8 * 1024 * 1024 })
    , mResults(aPlan.mThreads)
    , mRemaining(mArrivals.size())
  {
    for (auto& it : mResults) {
      it.resize(aPlan.mSteps.size());
    }
  }

  const LoadPlan& mPlan;
  net::IoPool& mPool;
  const std::vector<Arrival> mArrivals;
  net::HttpClient mClient;
  std::vector<std::vector<StepResult>> mResults;
  std::atomic<std::size_t> mRemaining;
  base::MonotonicTime mStart = base::MonotonicClock::now() + kStartDelay;

  auto Send(std::size_t aIndex) -> net::Task<void>;
  auto SendShare(std::size_t aThread) -> net::Task<void>;
  auto CountExchange(const Arrival& aArrival,
                     const net::HttpExchange& aExchange) -> void;
};

auto Run::CountExchange(const Arrival& aArrival,
                        const net::HttpExchange& aExchange) -> void
{
  auto& step = mResults[net::ThisThreadIndex()][aArrival.mStep];
  const auto now = base::MonotonicClock::now();
  const auto time =
    std::chrono::duration_cast<base::Microseconds>(now - mStart - aArrival.mAt);
  const auto outcome = net::FindField(aExchange.mResponse.mFields, "Outcome");
  ++step.mSent;
  if (!aExchange.mStatus.ok() || outcome == "unknown") {
    ++step.mUnknown;
  } else if (outcome == "not_run" ||
             aExchange.mResponse.mStatus >= kFirstErrorStatus) {
    ++step.mRefused;
    step.mRefusalTimes.push_back(time);
  } else {
    ++(time <= mPlan.mDeadline ? step.mInTime : step.mLate);
    step.mAnsweredTimes.push_back(time);
  }
}

auto Run::Send(std::size_t aIndex) -> net::Task<void>
{
  const auto& arrival = mArrivals[aIndex];
  const auto& target = mPlan.mTargets[aIndex % mPlan.mTargets.size()];
  net::HttpRequest request;
  request.mTarget = mPlan.mPath;
  request.mFields = target.mFields;
  request.mFields.push_back(
    { "Deadline-Ms", base::Cat(mPlan.mDeadline.count()) });
  request.mFields.push_back(
    { "Request-Id", base::Cat("load-", mPlan.mSeed, "-", aIndex) });
  const auto giveUpAt = mStart + arrival.mAt + mPlan.mDeadline + kAnswerGrace;
  const auto exchange =
    co_await mClient.Exchange(target.mAddress, request, giveUpAt);
  CountExchange(arrival, exchange);
  if (--mRemaining == 0) {
    mPool.Stop();
  }
}

auto Run::SendShare(std::size_t aThread) -> net::Task<void>
{
  const auto executor = co_await asio::this_coro::executor;
  auto timer = asio::steady_timer(executor);
  for (auto i = aThread; i < mArrivals.size(); i += mPlan.mThreads) {
    const auto due = mStart + mArrivals[i].mAt;
    if (due > base::MonotonicClock::now()) {
      timer.expires_at(due);
      co_await timer.async_wait(asio::use_awaitable);
    }
    net::SpawnTask(executor, Send(i));
  }
}

auto AddTo(StepResult& aSum, const StepResult& aPart) -> void
{
  aSum.mSent += aPart.mSent;
  aSum.mInTime += aPart.mInTime;
  aSum.mLate += aPart.mLate;
  aSum.mRefused += aPart.mRefused;
  aSum.mUnknown += aPart.mUnknown;
  aSum.mAnsweredTimes.insert(aSum.mAnsweredTimes.end(),
                             aPart.mAnsweredTimes.begin(),
                             aPart.mAnsweredTimes.end());
  aSum.mRefusalTimes.insert(aSum.mRefusalTimes.end(),
                            aPart.mRefusalTimes.begin(),
                            aPart.mRefusalTimes.end());
}

auto Sum(const std::vector<std::vector<StepResult>>& aResults)
  -> std::vector<StepResult>
{
  std::vector<StepResult> out(aResults.front().size());
  for (const auto& thread : aResults) {
    for (std::size_t i = 0; i < out.size(); ++i) {
      AddTo(out[i], thread[i]);
    }
  }
  for (auto& it : out) {
    std::ranges::sort(it.mAnsweredTimes);
    std::ranges::sort(it.mRefusalTimes);
  }
  return out;
}

auto InMs(base::Microseconds aTime) -> double
{
  constexpr double kMicrosecondsPerMs = 1000;
  return static_cast<double>(aTime.count()) / kMicrosecondsPerMs;
}

} // namespace

auto RunLoad(const LoadPlan& aPlan) -> std::vector<StepResult>
{
  // Declared first, as connections have to close before their event loops end.
  net::IoPool pool(aPlan.mThreads);
  Run run(aPlan, pool);
  if (run.mArrivals.empty()) {
    return Sum(run.mResults);
  }
  for (std::size_t i = 0; i < aPlan.mThreads; ++i) {
    pool.Spawn(pool.Executor(i), run.SendShare(i));
  }
  pool.Run();
  return Sum(run.mResults);
}

auto ToTable(const LoadPlan& aPlan, const std::vector<StepResult>& aResults)
  -> std::string
{
  auto out = std::string("rate/s        sent  in time   late refused unknown  "
                         "p50 ms  p99 ms  p99.9  refusal p50  p99 ms\n");
  for (std::size_t i = 0; i < aResults.size(); ++i) {
    const auto& step = aPlan.mSteps[i];
    const auto& result = aResults[i];
    const auto& answered = result.mAnsweredTimes;
    const auto& refused = result.mRefusalTimes;
    fmt::format_to(std::back_inserter(out),
                   "{:<10} {:>7} {:>8} {:>6} {:>7} {:>7} {:>7.1f} {:>7.1f} "
                   "{:>6.1f} {:>12.2f} {:>7.2f}\n",
                   base::Cat(step.mFromRate, "-", step.mToRate),
                   result.mSent,
                   result.mInTime,
                   result.mLate,
                   result.mRefused,
                   result.mUnknown,
                   InMs(QuantileOf(answered, 0.5)),
                   InMs(QuantileOf(answered, 0.99)),
                   InMs(QuantileOf(answered, 0.999)),
                   InMs(QuantileOf(refused, 0.5)),
                   InMs(QuantileOf(refused, 0.99)));
  }
  return out;
}

} // namespace eelgrasspost::load

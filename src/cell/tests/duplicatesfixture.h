#pragma once

#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "cellfixture.h"
#include "eelgrasspost/base/text.h"

namespace eelgrasspost::cell::testing {

inline constexpr auto kUsual = Milliseconds(1000);

/** Three workers on three racks, of which w1 has become slow: the task
 * "j.0.0.0" that it runs has done a fifth of its work in twice the usual time.
 */
struct DuplicatesFixture : CellFixture
{
  std::string mTask = "j.0.0.0";

  DuplicatesFixture()
  {
    mCell.mPolicy.mStartsDuplicates = true;
    for (const auto& id : { "w1", "w2", "w3" }) {
      AddRacked(id, base::Cat("rack-", id));
    }
  }

  auto AddRacked(const std::string& aId, std::string aRack) -> Worker&
  {
    auto& worker = AddWorker(aId);
    worker.mRecord.mLabels = { "kind", std::move(aRack) };
    return worker;
  }

  static auto MakeTimed(std::int64_t aCpu = 1000) -> StepSpec
  {
    auto out = MakeStep(1, aCpu);
    out.mEstimatedMs = kUsual.count();
    out.mAllowsDuplicates = true;
    return out;
  }

  /** Keeps starts from all workers but w1, or from none. */
  auto UseOnlySlow(bool aIsOnly) -> void
  {
    for (auto& [id, worker] : mCell.mWorkers) {
      worker->mSuspectUntil =
        aIsOnly && id != "w1" ? mNow + kUsual : MonotonicTime{};
    }
  }

  /** Starts the first task of a job on w1. */
  auto StartOnSlow(StoredJob aJob) -> void
  {
    const auto task = aJob.mSpec.mId + ".0.0.0";
    UseOnlySlow(true);
    Add(std::move(aJob));
    mCell.mHasNewReady = true;
    BOOST_REQUIRE(Start().size() == 1U);
    BOOST_REQUIRE(Runs("w1").contains(task));
    UseOnlySlow(false);
  }

  auto StartOnSlow(StepSpec aStep, const std::string& aId = "j") -> void
  {
    StartOnSlow(MakeJob(aId, std::move(aStep)));
  }

  auto Runs(const std::string& aWorker) -> std::unordered_map<std::string, Run>&
  {
    return mCell.mWorkers.at(aWorker)->mRuns;
  }

  auto RowsOf(const std::string& aWorker, double aPercent)
    -> std::vector<RunningRow>
  {
    std::vector<RunningRow> out;
    for (const auto& [name, run] : Runs(aWorker)) {
      out.push_back({ name, run.mAttempt, "", aPercent, 0 });
    }
    return out;
  }

  /** Lets w1 run for a time, until its runs have done a part of their work. */
  auto RunFor(Milliseconds aTime, double aPercent) -> void
  {
    Advance(aTime);
    Report("w1", RowsOf("w1", aPercent), {});
    Report("w2", RowsOf("w2", 0), {});
    Report("w3", RowsOf("w3", 0), {});
  }

  /** Lets w1 run slowly for twice the usual time. */
  auto RunSlowly() -> void { RunFor(2 * kUsual, 20); }

  /** Starts a job on w1 whose run becomes slow and gets a duplicate. */
  auto Duplicate() -> Order
  {
    StartOnSlow(MakeTimed());
    RunSlowly();
    const auto orders = Start();
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_REQUIRE(orders[0].mKind == OrderKind::Start);
    return orders[0];
  }

  auto End(const std::string& aWorker, EndKind aKind) -> void
  {
    auto& worker = *mCell.mWorkers.at(aWorker);
    const auto attempt = worker.mRuns.at(mTask).mAttempt;
    Report(
      aWorker, {}, { { worker.mSeenEnds + 1, mTask, attempt, aKind, "" } });
  }

  auto Lose(const std::string& aWorker) -> void
  {
    DropWorkerRuns(
      mCell, *mCell.mWorkers.at(aWorker), RunsLostReason::LeaseExpired, mNow);
  }

  auto TaskOf(const std::string& aName) -> Task&
  {
    return *FindTask(mCell, aName);
  }

  /** Orders at the next search for slow tasks. */
  auto NextOrders() -> std::vector<Order>
  {
    Advance(Milliseconds(300));
    mCell.mHasNewReady = true;
    return Start();
  }

  static auto CountStarts(const std::vector<Order>& aOrders) -> std::ptrdiff_t
  {
    return std::count_if(
      aOrders.begin(), aOrders.end(), [](const Order& aOrder) {
        return aOrder.mKind == OrderKind::Start;
      });
  }

  auto CountEvents(std::string_view aReason) const -> std::ptrdiff_t
  {
    return std::count_if(
      mCell.mEvents.begin(), mCell.mEvents.end(), [&](const CellEvent& aEvent) {
        return aEvent.mKind == CellEventKind::TaskDuplicated &&
               aEvent.mReason == aReason;
      });
  }
};

} // namespace eelgrasspost::cell::testing

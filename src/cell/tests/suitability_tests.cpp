#include <boost/test/unit_test.hpp>

#include "cellfixture.h"

namespace {

using namespace eelgrasspost::cell;
using eelgrasspost::cell::testing::CellFixture;

struct Suitability : CellFixture
{
  auto AddLabelled(const std::string& aId, std::int64_t aCpu) -> Worker&
  {
    auto& out = AddWorker(aId, aCpu);
    out.mRecord.mLabels = { "b" };
    return out;
  }

  auto CanRun(const StepSpec& aStep) const -> bool
  {
    return CanRunStep(mCell, "service", aStep);
  }

  auto HasRoom(const StepSpec& aStep) const -> bool
  {
    return HasRoomForSteps(
      mCell, MakeJob("job", aStep), { { 0, aStep.mCount } }, mNow);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(suitability, Suitability)

// The choice of a cell took free CPU of workers that lack the label.
BOOST_AUTO_TEST_CASE(step_needs_a_worker_of_its_service_and_label)
{
  AddWorker("w1");
  auto subject = MakeStep(1);
  subject.mRequiredLabel = "b";

  BOOST_TEST(!CanRun(subject));
  AddLabelled("w2", 16000);
  BOOST_TEST(CanRun(subject));
  BOOST_TEST(!CanRunStep(mCell, "other", subject));
}

BOOST_AUTO_TEST_CASE(step_needs_a_worker_with_each_resource)
{
  AddWorker("w1");
  auto subject = MakeStep(1, 16000);
  BOOST_TEST(CanRun(subject));
  subject.mNeed.mMemoryMb = 64001;
  BOOST_TEST(!CanRun(subject));
  subject.mNeed = { 1000, 1000, 1 };
  BOOST_TEST(!CanRun(subject));
}

BOOST_AUTO_TEST_CASE(gang_needs_workers_for_all_members_at_once)
{
  AddWorker("w1", 4000);
  auto subject = MakeStep(6);
  BOOST_TEST(CanRun(subject));
  subject.mIsGang = true;
  BOOST_TEST(!CanRun(subject));
  AddWorker("w2", 4000);
  BOOST_TEST(CanRun(subject));
  subject.mMaxPerWorker = 2;
  BOOST_TEST(!CanRun(subject));
}

BOOST_AUTO_TEST_CASE(worker_that_drains_or_is_unlisted_cannot_run_a_step)
{
  auto& worker = AddWorker("w1");
  worker.mRecord.mState = WorkerState::Draining;
  BOOST_TEST(!CanRun(MakeStep(1)));
  worker.mRecord.mState = WorkerState::Ready;
  UnlistWorker(mCell, "w1");
  BOOST_TEST(!CanRun(MakeStep(1)));
}

BOOST_AUTO_TEST_CASE(full_worker_can_run_a_step_but_has_no_room)
{
  AddWorker("w1");
  AddLabelled("w2", 2000);
  auto job = MakeJob("job", MakeStep(1, 2000));
  job.mSpec.mSteps[0].mRequiredLabel = "b";
  auto subject = job.mSpec.mSteps[0];
  BOOST_TEST(HasRoom(subject));
  Add(job);
  Start();

  BOOST_TEST(CanRun(subject));
  BOOST_TEST(!HasRoom(subject));
}

BOOST_AUTO_TEST_CASE(step_with_a_label_needs_room_for_all_its_waiting_tasks)
{
  AddLabelled("w1", 2000);
  auto subject = MakeStep(3);
  BOOST_TEST(HasRoom(subject));
  subject.mRequiredLabel = "b";
  BOOST_TEST(!HasRoom(subject));
  subject.mCount = 2;
  BOOST_TEST(HasRoom(subject));
}

BOOST_AUTO_TEST_SUITE_END()

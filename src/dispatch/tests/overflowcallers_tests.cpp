#include <boost/test/unit_test.hpp>

#include "cancellationfixture.h"

namespace eelgrasspost::dispatch::testing {

namespace {

/** Cells without room for a job at once, of which the one of the caller's
 * domain has work for ten seconds before it. */
struct BusyDomain : CallersAndCells
{
  static constexpr double kCores = 16;
  static constexpr double kTenSecondsMs = 10000;

  explicit BusyDomain(bool aHasOverflow = true)
    : CallersAndCells(0, false, aHasOverflow)
  {
    Do([&] {
      mOffered = { "a/0", "b/0" };
      mLoad.mReserved = { kCores, kCores };
      mBacklogs["a/0"] = {
        { admission::RoomKind::Reserved, 0, 0, kCores * kTenSecondsMs, 0 }
      };
    });
  }

  auto IsIn(const CellHolder& aHolder) -> bool
  {
    auto out = false;
    Do([&] { out = aHolder.State().mJobs.contains(kId); });
    return out;
  }
};

struct BusyDomainWithoutOverflow : BusyDomain
{
  BusyDomainWithoutOverflow()
    : BusyDomain(false)
  {
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(callers)

BOOST_FIXTURE_TEST_CASE(new_job_goes_to_the_domain_with_the_shorter_wait,
                        BusyDomain)
{
  SubmitAndStart();
  BOOST_TEST(IsIn(*mSecond));
}

BOOST_FIXTURE_TEST_CASE(new_job_without_overflow_goes_by_capacity,
                        BusyDomainWithoutOverflow)
{
  const auto first =
    PlanOffers(OfferedCells(), mFormats.DecodeJob(kId, "").value(), "a");
  SubmitAndStart();
  BOOST_TEST(IsIn(first.front().mCell == "a/0" ? *mFirst : *mSecond));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace eelgrasspost::dispatch::testing

#define BOOST_TEST_MODULE dispatch_cellpool
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "cellpool.h"

namespace {

using eelgrasspost::base::Milliseconds;
using eelgrasspost::dispatch::testing::CellPool;
namespace data = boost::unit_test::data;

auto PlayWaves(std::uint64_t aSeed) -> CellPool
{
  CellPool::Load load;
  load.mSeed = aSeed;
  CellPool out(load);
  out.RunFor(Milliseconds(40000));
  BOOST_TEST_MESSAGE("tasks " << out.Tasks() << ", stranded " << out.Stranded()
                              << ", overtaken " << out.Overtaken()
                              << ", jobs in time " << out.InTimeShare());
  return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cellpool)

// Short tasks waited beyond their job's objective in full cells while other
// cells had room.
BOOST_DATA_TEST_CASE(waiting_task_starts_where_there_is_room,
                     data::xrange(1, 9),
                     seed)
{
  const auto pool = PlayWaves(static_cast<std::uint64_t>(seed));
  BOOST_TEST(pool.Stranded() <= pool.Tasks() / 100);
}

// Tasks that reserve CPU were started in the order of their jobs' arrival, also
// those of jobs that were late already.
BOOST_DATA_TEST_CASE(late_job_does_not_delay_jobs_in_time,
                     data::xrange(1, 9),
                     seed)
{
  const auto pool = PlayWaves(static_cast<std::uint64_t>(seed));
  BOOST_TEST(pool.Overtaken() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

#define BOOST_TEST_MODULE dispatch_cellpool
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "cellpool.h"

namespace {

using eelgrasspost::dispatch::testing::PlayWaves;
namespace data = boost::unit_test::data;

} // namespace

BOOST_AUTO_TEST_SUITE(cellpool)

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

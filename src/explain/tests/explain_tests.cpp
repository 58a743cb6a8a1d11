#define BOOST_TEST_MODULE explain
#include <boost/test/unit_test.hpp>

#include <sstream>

#include "eelgrasspost/explain/explain.h"

namespace {

using namespace eelgrasspost::explain;

/** Logs of two entries: a job whose task is stopped once and then done, lines
 * of another job, and text that is not a log line. */
struct LogFixture
{
  std::istringstream mInput{
    R"(12.3 e1 {"event":930,"utc_ms":2000,"entry":"e1","text":"a task is started on a worker","subject":"0a.0.0.0","attempt":1,"reason":"plans","value":1500}
noise
{"event":920,"utc_ms":500,"entry":"e2","text":"a submission or cancellation was answered","job":"0a","request":"submit","outcome":"accepted"}
{"event":933,"utc_ms":2900,"entry":"e1","text":"a run is stopped","subject":"0a.0.0.0","attempt":1,"reason":"stands_still"}
{"event":932,"utc_ms":3000,"entry":"e1","text":"a worker reports the end of a run","subject":"0a.0.0.0","attempt":1,"reason":"stopped"}
{"event":930,"utc_ms":3200,"entry":"e1","text":"a task is started on a worker","subject":"0a.0.0.0","attempt":2,"reason":"plans","value":200}
{"event":932,"utc_ms":5200,"entry":"e1","text":"a worker reports the end of a run","subject":"0a.0.0.0","attempt":2,"reason":"done"}
{"event":937,"utc_ms":5200,"entry":"e1","text":"a job has ended","subject":"0a","reason":"done","lines_left_out":4}
{"event":920,"utc_ms":600,"entry":"e2","text":"a submission or cancellation was answered","job":"0b","request":"submit","outcome":"not_run","reason":"the store does not respond; retry"}
{"event":930,"utc_ms":70)"
  };
  EntryLog mLog = ReadLog(mInput);
};

auto Contains(const std::string& aText, const std::string& aPart) -> bool
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(explain, LogFixture)

BOOST_AUTO_TEST_CASE(log_with_noise_and_a_truncated_line_is_read_in_order)
{
  BOOST_REQUIRE(mLog.mLines.size() == 8U);
  BOOST_TEST(mLog.mSkippedLines == 2U);
  BOOST_TEST(mLog.mLeftOutLines == 4);
  BOOST_TEST(mLog.mLines.front().mUtcMs == 500);
  BOOST_TEST(mLog.mLines.back().mUtcMs == 5200);
}

BOOST_AUTO_TEST_CASE(history_of_a_job_tells_each_step_and_its_end)
{
  const auto text = RenderHistory(mLog, "0a");
  BOOST_TEST(text.starts_with("+0 ms e2 E920"));
  BOOST_TEST(Contains(text, "+2400 ms e1 E933 a run is stopped"));
  BOOST_TEST(Contains(text, "reason=\"stands_still\""));
  BOOST_TEST(Contains(text, "ended: done"));
  BOOST_TEST(Contains(text, "left out 4 lines"));
  BOOST_TEST(!Contains(text, "0b"));
}

BOOST_AUTO_TEST_CASE(history_of_a_refused_job_ends_with_the_reason)
{
  BOOST_TEST(Contains(RenderHistory(mLog, "0b"),
                      "last answer: not_run the store does not respond"));
}

BOOST_AUTO_TEST_CASE(history_of_an_unknown_job_names_the_remedy)
{
  BOOST_TEST(!HasJob(mLog, "0"));
  BOOST_TEST(HasJob(mLog, "0a"));
  BOOST_TEST(Contains(RenderHistory(mLog, "0"), "check the id"));
}

BOOST_AUTO_TEST_CASE(times_of_a_queue_separate_waits_and_runs)
{
  const auto times = SumTimes(mLog);
  BOOST_REQUIRE(times.size() == 1U);
  BOOST_TEST(times[0].mQueue == "plans");
  BOOST_TEST(times[0].mStarts == 2U);
  BOOST_TEST(times[0].mStops == 1U);
  BOOST_TEST(times[0].mWaitForFirstStartS == 1.5);
  BOOST_TEST(times[0].mWaitForRestartS == 0.2);
  BOOST_TEST(times[0].mRunStoppedS == 1.0);
  BOOST_TEST(times[0].mRunDoneS == 2.0);
  BOOST_TEST(Contains(RenderTimes(times), "plans"));
}

BOOST_AUTO_TEST_SUITE_END()

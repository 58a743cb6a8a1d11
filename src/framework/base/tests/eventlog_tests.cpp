#include <boost/test/unit_test.hpp>

#include <string>

#include <fcntl.h>
#include <unistd.h>

#include "eelgrasspost/base/eventlog.h"
#include "eelgrasspost/base/jsonfields.h"

namespace {

using namespace eelgrasspost;

constexpr auto kEvent =
  base::LogEvent{ 42, base::LogLevel::Info, "something was decided", "none" };

/** Redirects standard output to a pipe that the test reads. */
struct PipeFixture
{
  int mSavedStdout = ::dup(STDOUT_FILENO);
  int mReadEnd = -1;

  PipeFixture()
  {
    int ends[2] = { -1, -1 };
    BOOST_REQUIRE(::pipe(ends) == 0);
    ::dup2(ends[1], STDOUT_FILENO);
    ::close(ends[1]);
    mReadEnd = ends[0];
    ::fcntl(mReadEnd, F_SETFL, O_NONBLOCK);
  }
  ~PipeFixture()
  {
    ::dup2(mSavedStdout, STDOUT_FILENO);
    ::close(mSavedStdout);
    ::close(mReadEnd);
  }

  auto Read() const -> std::string
  {
    std::string out;
    char buf[65536];
    for (auto n = ::read(mReadEnd, buf, sizeof(buf)); n > 0;
         n = ::read(mReadEnd, buf, sizeof(buf))) {
      out.append(buf, static_cast<std::size_t>(n));
    }
    return out;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(eventlog, PipeFixture)

BOOST_AUTO_TEST_CASE(record_special_characters_writes_valid_json)
{
  base::EventLog log("entry-1");
  log.Record(kEvent, { { "job", "a\"b\n" }, { "n", std::int64_t{ 7 } } });
  log.Flush();
  const auto line = base::ParseObject(Read());
  BOOST_REQUIRE(line.ok());
  BOOST_TEST(base::NumberField(*line, "event") == 42);
  BOOST_TEST(base::TextField(*line, "job") == "a\"b\n");
  BOOST_TEST(base::NumberField(*line, "n") == 7);
}

BOOST_AUTO_TEST_CASE(record_over_rate_limit_drops_and_counts_lines)
{
  base::EventLog log("entry-1");
  for (auto i = 0; i < 5000; ++i) {
    log.Record(kEvent, {});
  }
  // The rate limit starts anew if the loop crosses the end of a second.
  BOOST_TEST(log.Dropped() > 4000U);
}

BOOST_AUTO_TEST_CASE(flush_reader_stalled_does_not_block)
{
  base::EventLog log("entry-1");
  const auto longText = std::string(4000, 'x');
  for (auto i = 0; i < 100; ++i) {
    log.Record(kEvent, { { "text", longText } });
    log.Flush();
  }
  // More was written than the pipe's capacity, without blocking.
  BOOST_TEST(log.Dropped() > 0U);
  BOOST_TEST(!Read().empty());
}

BOOST_AUTO_TEST_SUITE_END()

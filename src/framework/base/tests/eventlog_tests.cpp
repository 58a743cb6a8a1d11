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

/** Standard output is a pipe whose reader is the test. */
struct PipeFixture
{
  int mSaved = ::dup(STDOUT_FILENO);
  int mReader = -1;

  PipeFixture()
  {
    int ends[2] = { -1, -1 };
    BOOST_REQUIRE(::pipe(ends) == 0);
    ::dup2(ends[1], STDOUT_FILENO);
    ::close(ends[1]);
    mReader = ends[0];
    ::fcntl(mReader, F_SETFL, O_NONBLOCK);
  }
  ~PipeFixture()
  {
    ::dup2(mSaved, STDOUT_FILENO);
    ::close(mSaved);
    ::close(mReader);
  }

  auto Read() const -> std::string
  {
    std::string out;
    char buf[65536];
    for (auto n = ::read(mReader, buf, sizeof(buf)); n > 0;
         n = ::read(mReader, buf, sizeof(buf))) {
      out.append(buf, static_cast<std::size_t>(n));
    }
    return out;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(eventlog, PipeFixture)

BOOST_AUTO_TEST_CASE(line_with_special_characters_is_json)
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

BOOST_AUTO_TEST_CASE(flood_of_one_kind_is_cut_and_counted)
{
  base::EventLog log("entry-1");
  for (auto i = 0; i < 5000; ++i) {
    log.Record(kEvent, {});
  }
  // The loop may cross the end of a second or two.
  BOOST_TEST(log.Dropped() > 4000U);
}

BOOST_AUTO_TEST_CASE(reader_stalled_blocks_nothing)
{
  base::EventLog log("entry-1");
  const auto longText = std::string(4000, 'x');
  for (auto i = 0; i < 100; ++i) {
    log.Record(kEvent, { { "text", longText } });
    log.Flush();
  }
  // More was written than a pipe takes, and the test has not been blocked.
  BOOST_TEST(log.Dropped() > 0U);
  BOOST_TEST(!Read().empty());
}

BOOST_AUTO_TEST_SUITE_END()

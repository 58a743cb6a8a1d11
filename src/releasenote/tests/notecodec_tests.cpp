#include <boost/test/unit_test.hpp>

#include "eelgrasspost/base/errors.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/releasenote/notecodec.h"
#include "eelgrasspost/releasenote/releasenoteerrors.h"

namespace {

using namespace eelgrasspost::releasenote;
namespace base = eelgrasspost::base;

struct InvalidNoteCase
{
  std::string mServices;
  std::string_view mExpected;
};

const std::string kEndpoints =
  R"("endpoints": [{"worker": "w1", "address": "127.0.0.1:9000"}])";

auto ErrorMessageFor(const std::string& aText) -> std::string
{
  const auto note = ParseNote(aText);
  BOOST_TEST_REQUIRE(!note.ok());
  BOOST_TEST(base::IsKind(note.status(), kBadNote));
  return std::string(base::MessageOf(note.status()));
}

auto Contains(const std::string& aText, std::string_view aPart) -> bool
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(notecodec)

BOOST_AUTO_TEST_CASE(note_with_one_error_reports_path_and_remedy)
{
  const std::initializer_list<InvalidNoteCase> cases = {
    { R"({"add": [{"name": "a"}]})",
      "services.add[0].endpoints: is empty; list" },
    { R"({"add": [3]})", "services.add[0]: is not an object" },
    { R"({"add": 3})", "services.add: is not an array" },
    { R"({"put": []})", "services.put: is unknown; remove it" },
    { R"({"withdraw": [7]})", "services.withdraw[0]: is not a string" },
    { R"({"withdraw": ["x", "x"]})",
      "services.withdraw[1]: x is listed twice" },
    { R"({"add": [{"name": "a b", )" + kEndpoints + "}]}",
      "services.add[0].name: 'a b' is not a valid name" },
    { R"({"add": [{"name": "a", "color": 1, )" + kEndpoints + "}]}",
      "services.add[0].color: is unknown" },
    { R"({"add": [{"name": "a", "deadline_ms": 0, )" + kEndpoints + "}]}",
      "services.add[0].deadline_ms: 0 is out of range; write milliseconds" },
    { R"({"add": [{"name": "a", "queue_limit": "9", )" + kEndpoints + "}]}",
      "services.add[0].queue_limit: \"9\" is not an integer" },
    { R"({"add": [{"name": "a", "retry_percent": 1.5, )" + kEndpoints + "}]}",
      "services.add[0].retry_percent: 1.5E0 is not an integer" },
    { R"({"add": [{"name": "a", "idempotent": "yes", )" + kEndpoints + "}]}",
      "services.add[0].idempotent: \"yes\" is neither true nor false" },
    { R"({"add": [{"name": "a", "endpoints": [
        {"worker": "w1", "address": "127.0.0.1:1"},
        {"worker": "w1", "address": "127.0.0.1:2"}]}]})",
      "services.add[0].endpoints[1].worker: w1 has an endpoint already" },
    { R"({"add": [{"name": "a", "endpoints": [
        {"worker": "w1", "address": "host:1"}]}]})",
      "services.add[0].endpoints[0].address: 'host:1' is not an address" },
  };
  for (const auto& it : cases) {
    const auto text =
      ErrorMessageFor(R"({"base": 0, "services": )" + it.mServices + "}");
    BOOST_TEST_INFO(text);
    BOOST_TEST(Contains(text, it.mExpected));
  }
}

BOOST_AUTO_TEST_CASE(note_with_several_errors_reports_all_at_once)
{
  const auto text = ErrorMessageFor(R"({"services": {"add": [
    {"name": "", "deadline_ms": -1, "endpoints": []}], "withdraw": [1]},
    "teams": {"add": [{"cpu_millis": "x"}]}, "extra": 1})");
  for (const auto* part : { "base: is missing",
                            "services.add[0].name",
                            "services.add[0].deadline_ms",
                            "services.add[0].endpoints",
                            "services.withdraw[0]",
                            "teams.add[0].name",
                            "teams.add[0].cpu_millis",
                            "extra: is unknown" }) {
    BOOST_TEST_INFO(text);
    BOOST_TEST(Contains(text, part));
  }
}

BOOST_AUTO_TEST_CASE(note_over_the_size_limit_is_rejected_with_the_limit)
{
  BOOST_TEST(
    Contains(ErrorMessageFor(std::string(kMaxNoteBytes + 1, ' ')), "split"));
}

BOOST_AUTO_TEST_CASE(note_that_is_not_a_json_object_is_rejected)
{
  BOOST_TEST(Contains(ErrorMessageFor("[]"), "not an object"));
  BOOST_TEST(Contains(ErrorMessageFor("{"), "not JSON"));
}

BOOST_AUTO_TEST_CASE(revision_encoded_and_decoded_keeps_submission_id)
{
  const auto note = ParseNote(R"({"base": 4, "services": {"add": [
    {"name": "a", )" + kEndpoints +
                              "}]}}");
  BOOST_TEST_REQUIRE(note.ok());
  const auto revision =
    NoteRevision{ 5, "ana", 17, SubmissionIdOf(*note, "ana"), 99, *note };
  const auto decoded = DecodeRevision(EncodeRevision(revision));
  BOOST_TEST_REQUIRE(decoded.ok());
  BOOST_TEST(decoded->mDigest == 99U);
  BOOST_TEST(decoded->mSubmissionId == SubmissionIdOf(decoded->mNote, "ana"));
  BOOST_TEST(decoded->mSubmissionId != SubmissionIdOf(decoded->mNote, "ben"));
}

BOOST_AUTO_TEST_SUITE_END()

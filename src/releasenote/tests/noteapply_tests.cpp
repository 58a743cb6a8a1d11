#define BOOST_TEST_MODULE releasenote
#include <boost/test/unit_test.hpp>

#include "eelgrasspost/base/errors.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/releasenote/notecodec.h"
#include "eelgrasspost/releasenote/releasenoteerrors.h"

namespace {

using namespace eelgrasspost::releasenote;
namespace base = eelgrasspost::base;

constexpr std::string_view kNote = R"({"base": 0, "services": {"add": [
  {"name": "quotes", "idempotent": true,
   "endpoints": [{"worker": "w1", "address": "127.0.0.1:9000"}]}]}})";

struct BadNote
{
  std::string_view mText;
  std::string_view mExpected;
};

} // namespace

BOOST_AUTO_TEST_SUITE(note)

BOOST_AUTO_TEST_CASE(note_added_service_is_found_and_round_trips)
{
  const auto note = ParseNote(kNote);
  BOOST_TEST_REQUIRE(note.ok());
  const auto state = ApplyNote({}, *note);
  BOOST_TEST_REQUIRE(state.ok());
  BOOST_TEST(state->mRevision == 1U);
  BOOST_TEST(state->FindService("quotes") != nullptr);
  const auto again = DecodeState(EncodeState(*state));
  BOOST_TEST_REQUIRE(again.ok());
  BOOST_TEST((again->mServices == state->mServices));
}

BOOST_AUTO_TEST_CASE(note_mistakes_are_named_with_place_and_remedy)
{
  const auto cases = {
    BadNote{ "[]", "no object" },
    BadNote{ R"({"services": {}})", "base: name the revision" },
    BadNote{ R"({"base": 0, "services": {"add": [{"name": "a"}]}})",
             "services.add[0].endpoints" },
    BadNote{ R"({"base": 0, "services": {"add": [3]}})", "services.add[0]" },
  };
  for (const auto& it : cases) {
    const auto note = ParseNote(it.mText);
    BOOST_TEST_REQUIRE(!note.ok());
    BOOST_TEST(base::IsKind(note.status(), kBadNote));
    BOOST_TEST(base::MessageOf(note.status()).find(it.mExpected) !=
               std::string_view::npos);
  }
}

BOOST_AUTO_TEST_CASE(note_withdrawing_unknown_service_is_refused)
{
  const auto note =
    ParseNote(R"({"base": 0, "services": {"withdraw": ["x"]}})");
  BOOST_TEST_REQUIRE(note.ok());
  BOOST_TEST(!ApplyNote({}, *note).ok());
}

BOOST_AUTO_TEST_SUITE_END()

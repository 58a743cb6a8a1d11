#include <boost/test/unit_test.hpp>

#include "eelgrasspost/base/settings.h"
#include "eelgrasspost/base/text.h"

namespace {

using namespace eelgrasspost::base;

constexpr auto kFields = std::array{
  SettingField{ "entry", "id", SettingKind::Text, kRequired, 0, 0, "a name" },
  SettingField{ "entry",
                "http",
                SettingKind::Address,
                "127.0.0.1:0",
                0,
                0,
                "where" },
  SettingField{ "lease",
                "ttl_ms",
                SettingKind::Milliseconds,
                "1000",
                100,
                60000,
                "" },
  SettingField{ "entry", "share", SettingKind::Decimal, "0.5", 0, 8, "" },
  SettingField{ "peers", "seeds", SettingKind::AddressList, "", 0, 0, "" },
};

struct InvalidCase
{
  std::string_view mText;
  std::string_view mExpected;
};

} // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(settings_complete_file_gives_values_and_defaults)
{
  const auto values = ReadSettings("[entry]\nid = a\n[peers]\nseeds = "
                                   "127.0.0.1:1, 127.0.0.1:2\n",
                                   "x.ini",
                                   kFields);
  BOOST_TEST_REQUIRE(values.ok());
  BOOST_TEST(values->Text("entry", "id") == "a");
  BOOST_TEST(values->Integer("lease", "ttl_ms") == 1000);
  BOOST_TEST(values->Decimal("entry", "share") == 0.5);
  BOOST_TEST(values->List("peers", "seeds").size() == 2U);
}

BOOST_AUTO_TEST_CASE(settings_invalid_file_reports_error_with_remedy)
{
  const auto cases = {
    InvalidCase{ "[entry]\n", "[entry] id: missing; add it" },
    InvalidCase{ "[entry]\nid=a\nidd=b\n", "idd = b: unknown setting" },
    InvalidCase{ "[entry]\nid=a\nhttp=here\n", "http = here: write IP:PORT" },
    InvalidCase{ "[entry]\nid=a\n[lease]\nttl_ms=5\n", "from 100 to 60000" },
    InvalidCase{ "[entry]\nid=a\nid=b\n", "line 3" },
    InvalidCase{ "[entry]\nid=a\nshare=9.5\n", "decimal number from 0 to 8" },
    InvalidCase{ "[entry]\nid=a\nshare=half\n", "write a decimal number" },
    InvalidCase{ "[entry]\nid=a\n[peers]\nseeds=x\n", "write IP:PORT" },
  };
  for (const auto& it : cases) {
    const auto values = ReadSettings(it.mText, "x.ini", kFields);
    BOOST_TEST_REQUIRE(!values.ok());
    BOOST_TEST_INFO(MessageOf(values.status()));
    BOOST_TEST(MessageOf(values.status()).find(it.mExpected) !=
               std::string_view::npos);
  }
}

BOOST_AUTO_TEST_CASE(settings_several_errors_are_reported_at_once)
{
  const auto values =
    ReadSettings("[entry]\nx=1\n[lease]\nttl_ms=x\n", "x.ini", kFields);
  BOOST_TEST_REQUIRE(!values.ok());
  const auto text = MessageOf(values.status());
  BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 2);
}

BOOST_AUTO_TEST_SUITE_END()

#define BOOST_TEST_MODULE app
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "internal/dispatchsettings.h"
#include "internal/entrysettings.h"
#include "internal/pages.h"

namespace {

using namespace eelgrasspost;
namespace fs = std::filesystem;

const auto kRoot = fs::path(EELGRASSPOST_SOURCE_DIR);

auto ReadFile(const fs::path& aPath) -> std::string
{
  auto in = std::ifstream(aPath);
  std::stringstream out;
  out << in.rdbuf();
  return out.str();
}

auto Contains(const std::string& aText, const std::string& aPart) -> bool
{
  return aText.find(aPart) != std::string::npos;
}

/** Counts the events that the headers of the modules define. */
auto CountDefinedEvents() -> std::size_t
{
  std::size_t count = 0;
  for (const auto& it : fs::recursive_directory_iterator(kRoot / "src")) {
    const auto name = it.path().filename().string();
    if (!name.ends_with("logevents.h")) {
      continue;
    }
    const auto text = ReadFile(it.path());
    const std::string mark = "base::LogEvent{";
    for (auto at = text.find(mark); at != std::string::npos;
         at = text.find(mark, at + 1)) {
      ++count;
    }
  }
  return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(pages)

BOOST_AUTO_TEST_CASE(settingspage_holds_every_setting_as_in_code)
{
  const auto page = ReadFile(kRoot / "docs/settings.md");
  const auto table = app::RenderSettings(app::EntrySettingFields());
  BOOST_TEST_INFO("write the output of 'eelgrasspost settings' there");
  BOOST_TEST(Contains(page, table));
}

BOOST_AUTO_TEST_CASE(settingspage_holds_every_platform_setting_as_in_code)
{
  const auto page = ReadFile(kRoot / "docs/settings.md");
  const auto table = app::RenderSettings(app::DispatchSettingFields());
  BOOST_TEST_INFO("write the output of 'eelgrasspost settings dispatch' there");
  BOOST_TEST(Contains(page, table));
}

BOOST_AUTO_TEST_CASE(settingstemplate_gives_every_required_platform_setting)
{
  const auto text = ReadFile(kRoot / "deploy/entry.ini");
  for (const auto& it : app::DispatchSettingFields()) {
    BOOST_TEST_INFO(it.mSection << "." << it.mKey);
    BOOST_TEST(Contains(text, "\n" + std::string(it.mKey) + " = "));
  }
}

BOOST_AUTO_TEST_CASE(logeventspage_holds_every_event_as_in_code)
{
  const auto page = ReadFile(kRoot / "docs/log-events.md");
  const auto table = app::RenderLogEvents(app::AllLogEvents());
  BOOST_TEST_INFO("write the output of 'eelgrasspost log-events' there");
  BOOST_TEST(Contains(page, table));
}

BOOST_AUTO_TEST_CASE(logevents_catalogue_is_complete_with_unique_numbers)
{
  std::set<int> numbers;
  for (const auto& it : app::AllLogEvents()) {
    numbers.insert(it.mNumber);
  }
  BOOST_TEST(numbers.size() == app::AllLogEvents().size());
  BOOST_TEST(app::AllLogEvents().size() == CountDefinedEvents());
}

BOOST_AUTO_TEST_SUITE_END()

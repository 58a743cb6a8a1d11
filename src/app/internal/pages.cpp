#include "pages.h"

#include <array>

#include "eelgrasspost/base/enumnames.h"
#include "eelgrasspost/base/text.h"

namespace eelgrasspost::app {

namespace {

using base::LogLevel;
using base::SettingKind;

constexpr auto kSettingKindNames = std::array{
  base::EnumName<SettingKind>{ SettingKind::Text, "text" },
  base::EnumName<SettingKind>{ SettingKind::Integer, "number" },
  base::EnumName<SettingKind>{ SettingKind::Decimal, "decimal" },
  base::EnumName<SettingKind>{ SettingKind::Milliseconds, "milliseconds" },
  base::EnumName<SettingKind>{ SettingKind::Address, "IP:PORT" },
  base::EnumName<SettingKind>{ SettingKind::AddressList, "IP:PORT,..." },
};

constexpr auto kLogLevelNames = std::array{
  base::EnumName<LogLevel>{ LogLevel::Debug, "debug" },
  base::EnumName<LogLevel>{ LogLevel::Info, "info" },
  base::EnumName<LogLevel>{ LogLevel::Warn, "warn" },
  base::EnumName<LogLevel>{ LogLevel::Error, "error" },
};

auto RangeOf(const base::SettingField& aField) -> std::string
{
  const auto isNumber = aField.mKind == SettingKind::Integer ||
                        aField.mKind == SettingKind::Decimal ||
                        aField.mKind == SettingKind::Milliseconds;
  return isNumber ? base::Cat(aField.mMin, " to ", aField.mMax) : "";
}

} // namespace

auto RenderSettings(std::span<const base::SettingField> aFields) -> std::string
{
  std::string out = "| section | key | unit | default | range | meaning |\n"
                    "| --- | --- | --- | --- | --- | --- |\n";
  for (const auto& it : aFields) {
    base::Append(out,
                 "| ",
                 it.mSection,
                 " | ",
                 it.mKey,
                 " | ",
                 base::NameOf(kSettingKindNames, it.mKind),
                 " | ",
                 it.mDefault.empty() ? "(empty)" : it.mDefault,
                 " | ",
                 RangeOf(it),
                 " | ",
                 it.mHelp,
                 " |\n");
  }
  return out;
}

auto RenderLogEvents(std::span<const base::LogEvent> aEvents) -> std::string
{
  std::string out = "| number | level | meaning | what to do |\n"
                    "| --- | --- | --- | --- |\n";
  for (const auto& it : aEvents) {
    base::Append(out,
                 "| E",
                 it.mNumber,
                 " | ",
                 base::NameOf(kLogLevelNames, it.mLevel),
                 " | ",
                 it.mText,
                 " | ",
                 it.mAction,
                 " |\n");
  }
  return out;
}

} // namespace eelgrasspost::app

#include <algorithm>

#include "eelgrasspost/explain/explain.h"

namespace eelgrasspost::explain {

namespace {

constexpr std::string_view kObjectStart = "{\"event\":";

} // namespace

auto ReadLog(std::istream& aInput) -> EntryLog
{
  EntryLog out;
  for (std::string text; std::getline(aInput, text);) {
    const auto start = text.find(kObjectStart);
    auto object = start == std::string::npos
                    ? absl::InvalidArgumentError("no event")
                    : base::ParseObject(std::string_view(text).substr(start));
    if (!object.ok()) {
      ++out.mSkippedLines;
      continue;
    }
    LogLine line;
    line.mEvent = static_cast<int>(base::NumberField(*object, "event"));
    line.mUtcMs = base::NumberField(*object, "utc_ms");
    line.mEntry = base::TextField(*object, "entry");
    line.mText = base::TextField(*object, "text");
    out.mLeftOutLines += base::NumberField(*object, "lines_left_out");
    line.mFields = *std::move(object);
    out.mLines.push_back(std::move(line));
  }
  std::stable_sort(out.mLines.begin(),
                   out.mLines.end(),
                   [](const LogLine& aLeft, const LogLine& aRight) {
                     return aLeft.mUtcMs < aRight.mUtcMs;
                   });
  return out;
}

} // namespace eelgrasspost::explain

#include "responseview.h"

#include <array>
#include <ctime>

#include "eelgrasspost/base/jsonfields.h"
#include "eelgrasspost/base/text.h"
#include "jobsview.h"

namespace eelgrasspost::app {

namespace {

namespace json = base::json;

struct TimeUnit
{
  char mSuffix;
  std::int64_t mMilliseconds;
};

constexpr std::int64_t kSecondMs = 1000;
constexpr auto kTimeUnits = std::array{
  TimeUnit{ 's', kSecondMs },
  TimeUnit{ 'm', 60 * kSecondMs },
  TimeUnit{ 'h', 3600 * kSecondMs },
  TimeUnit{ 'd', 24 * 3600 * kSecondMs },
};

auto FormatUtcTime(std::int64_t aTimestampMs) -> std::string
{
  const auto seconds = static_cast<std::time_t>(aTimestampMs / kSecondMs);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 32> buf{};
  const auto n = std::strftime(buf.data(), buf.size(), "%F %T", &utc);
  return fmt::format(
    "{}.{:03}Z", std::string_view(buf.data(), n), aTimestampMs % kSecondMs);
}

template<typename Render>
auto RenderList(const json::object& aBody, std::string_view aKey, Render aLine)
  -> std::string
{
  std::string out;
  const auto* list = base::ArrayField(aBody, aKey);
  for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
    if (const auto* object = (*list)[i].if_object()) {
      out += aLine(*object) + "\n";
    }
  }
  return out.empty() ? "none\n" : out;
}

auto RenderChange(const json::object& aChange) -> std::string
{
  auto out = base::Cat(base::TextField(aChange, "action"),
                       " ",
                       base::TextField(aChange, "sort"),
                       " ",
                       base::TextField(aChange, "name"));
  const auto before = base::TextField(aChange, "before");
  const auto after = base::TextField(aChange, "after");
  if (!before.empty()) {
    base::Append(out, "\n  - ", before);
  }
  if (!after.empty()) {
    base::Append(out, "\n  + ", after);
  }
  return out;
}

auto RenderRevision(const json::object& aRevision) -> std::string
{
  return base::Cat(base::NumberField(aRevision, "revision"),
                   "  ",
                   FormatUtcTime(base::NumberField(aRevision, "when_ms")),
                   "  ",
                   base::TextField(aRevision, "actor", "-"),
                   "  ",
                   base::TextField(aRevision, "summary"));
}

auto RenderAuditRecord(const json::object& aRecord) -> std::string
{
  return base::Cat(FormatUtcTime(base::NumberField(aRecord, "when_ms")),
                   "  ",
                   base::TextField(aRecord, "actor", "-"),
                   "  ",
                   base::TextField(aRecord, "action"),
                   " ",
                   base::TextField(aRecord, "sort"),
                   "/",
                   base::TextField(aRecord, "object"),
                   "  ",
                   base::TextField(aRecord, "before"),
                   " -> ",
                   base::TextField(aRecord, "after"));
}

auto RenderPlan(const json::object& aBody) -> std::string
{
  const auto against = base::NumberField(aBody, "against");
  const auto newest = base::NumberField(aBody, "newest");
  auto out = base::Cat("against revision ", against);
  if (newest != against) {
    base::Append(out, " (the newest is ", newest, ")");
  }
  return out + ":\n" + RenderList(aBody, "changes", RenderChange);
}

} // namespace

auto RenderResponse(ResponseView aView, const std::string& aBody) -> std::string
{
  const auto body = base::ParseObject(aBody);
  if (!body.ok()) {
    return aBody;
  }
  switch (aView) {
    case ResponseView::Plan:
      return RenderPlan(*body);
    case ResponseView::Submitted:
      return base::Cat(
        "accepted as revision ", base::NumberField(*body, "revision"), "\n");
    case ResponseView::History:
      return RenderList(*body, "revisions", RenderRevision);
    case ResponseView::Revision: {
      const auto* note = base::ObjectField(*body, "note");
      return base::Cat(RenderRevision(*body),
                       "\n",
                       note ? base::ToText(*note) : std::string(),
                       "\n");
    }
    case ResponseView::Audit:
      return RenderList(*body, "records", RenderAuditRecord);
    case ResponseView::Jobs:
      return RenderJobs(aBody);
  }
  return aBody;
}

auto ParseSince(const std::string& aText, std::int64_t aNowMs)
  -> absl::StatusOr<std::int64_t>
{
  if (const auto n = base::ParseNumber(aText)) {
    return *n;
  }
  for (const auto& it : kTimeUnits) {
    if (!aText.ends_with(it.mSuffix)) {
      continue;
    }
    const auto n = base::ParseNumber(aText.substr(0, aText.size() - 1));
    if (n && *n >= 0) {
      return aNowMs - *n * it.mMilliseconds;
    }
  }
  return absl::InvalidArgumentError(
    base::Cat("'",
              aText,
              "' is not a time; write 90s, 15m, 2h, 7d or milliseconds since "
              "the Unix epoch"));
}

} // namespace eelgrasspost::app

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/platform/platformerrors.h"
#include "httpports.h"
#include "platformcall.h"

namespace eelgrasspost::platform {

namespace {

namespace json = base::json;

auto ToRow(const json::object& aObject) -> TableRow
{
  return { base::TextField(aObject, "key"),
           base::TextField(aObject, "value"),
           static_cast<std::uint64_t>(base::NumberField(aObject, "version")) };
}

auto ToJson(const TableWrite& aWrite) -> json::object
{
  json::object out;
  out["key"] = aWrite.mKey;
  if (aWrite.mValue) {
    out["value"] = *aWrite.mValue;
  }
  if (aWrite.mExpectedVersion) {
    out["expect"] = *aWrite.mExpectedVersion;
  }
  return out;
}

} // namespace

HttpTable::HttpTable(net::HttpClient& aClient, net::Address aService)
  : mClient(aClient)
  , mService(std::move(aService))
{
}

auto HttpTable::Read(TableUse /*aUse*/,
                     std::string aKey,
                     base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<std::optional<TableRow>>>
{
  json::object body;
  body["key"] = aKey;
  const auto response = co_await PostJson(
    mClient, mService, "/table/read", std::move(body), aDeadline);
  if (!response.ok()) {
    co_return response.status();
  }
  if (!response->mBody.contains("version")) {
    co_return std::optional<TableRow>();
  }
  co_return std::optional(ToRow(response->mBody));
}

auto HttpTable::Scan(TableUse /*aUse*/,
                     std::string aPrefix,
                     std::string aAfter,
                     std::size_t aLimit,
                     base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<std::vector<TableRow>>>
{
  json::object body;
  body["prefix"] = aPrefix;
  body["after"] = aAfter;
  body["limit"] = aLimit;
  const auto response = co_await PostJson(
    mClient, mService, "/table/scan", std::move(body), aDeadline);
  if (!response.ok()) {
    co_return response.status();
  }
  const auto* rows = base::ArrayField(response->mBody, "rows");
  if (rows == nullptr) {
    co_return base::MakeError(kMalformedResponse, "a scan response lacks rows");
  }
  std::vector<TableRow> out;
  for (const auto& it : *rows) {
    if (it.is_object()) {
      out.push_back(ToRow(it.get_object()));
    }
  }
  co_return out;
}

auto HttpTable::Commit(TableUse /*aUse*/,
                       std::vector<TableWrite> aWrites,
                       base::MonotonicTime aDeadline) -> net::Task<absl::Status>
{
  json::array writes;
  for (const auto& it : aWrites) {
    writes.push_back(ToJson(it));
  }
  json::object body;
  body["writes"] = std::move(writes);
  const auto response = co_await PostJson(
    mClient, mService, "/table/commit", std::move(body), aDeadline);
  if (!response.ok()) {
    co_return response.status();
  }
  if (response->mBody.contains("conflict")) {
    co_return base::MakeError(
      kVersionConflict,
      base::Cat("row ",
                base::TextField(response->mBody, "conflict"),
                " has another version"));
  }
  if (!response->mBody.contains("committed")) {
    co_return base::MakeError(kMalformedResponse,
                              "a commit response has no outcome");
  }
  co_return absl::OkStatus();
}

} // namespace eelgrasspost::platform

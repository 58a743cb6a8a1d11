#include <iostream>
#include <map>

#include "standin.h"

namespace eelgrasspost::standin {

namespace {

struct Row
{
  std::string mValue;
  std::uint64_t mVersion = 0;
};

/** Faults that a test has injected. */
struct PlatformFaults
{
  bool mDown = false;
  std::int64_t mDelayMs = 0;
  /** Number of the next commits that take effect but lose their response. */
  std::int64_t mLostResponses = 0;
};

struct PlatformState
{
  std::map<std::string, Row> mRows;
  std::map<std::string, std::string> mObjects;
  json::array mVms;
  PlatformFaults mFaults;
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
};

auto Read(PlatformState& aState, const json::object& aBody) -> net::HttpResponse
{
  ++aState.mReads;
  const auto it = aState.mRows.find(base::TextField(aBody, "key"));
  json::object out;
  if (it != aState.mRows.end()) {
    out["key"] = it->first;
    out["value"] = it->second.mValue;
    out["version"] = it->second.mVersion;
  }
  return MakeResponse(200, out);
}

auto Scan(PlatformState& aState, const json::object& aBody) -> net::HttpResponse
{
  ++aState.mReads;
  const auto prefix = base::TextField(aBody, "prefix");
  const auto after = base::TextField(aBody, "after");
  const auto limit =
    static_cast<std::size_t>(base::NumberField(aBody, "limit", 100));
  json::array rows;
  for (auto it = aState.mRows.lower_bound(std::max(prefix, after));
       it != aState.mRows.end() && it->first.starts_with(prefix) &&
       rows.size() < limit;
       ++it) {
    if (it->first == after) {
      continue;
    }
    json::object row;
    row["key"] = it->first;
    row["value"] = it->second.mValue;
    row["version"] = it->second.mVersion;
    rows.push_back(std::move(row));
  }
  json::object out;
  out["rows"] = std::move(rows);
  return MakeResponse(200, out);
}

auto VersionOf(const PlatformState& aState, const std::string& aKey)
  -> std::int64_t
{
  const auto it = aState.mRows.find(aKey);
  return it == aState.mRows.end()
           ? 0
           : static_cast<std::int64_t>(it->second.mVersion);
}

auto Commit(PlatformState& aState, const json::object& aBody)
  -> net::HttpResponse
{
  ++aState.mWrites;
  const auto* writes = base::ArrayField(aBody, "writes");
  json::object out;
  for (const auto& it : *writes) {
    const auto& write = it.get_object();
    const auto key = base::TextField(write, "key");
    const auto expected = base::NumberField(write, "expect", -1);
    if (expected >= 0 && VersionOf(aState, key) != expected) {
      out["conflict"] = key;
      return MakeResponse(409, out);
    }
  }
  for (const auto& it : *writes) {
    const auto& write = it.get_object();
    const auto key = base::TextField(write, "key");
    if (write.contains("value")) {
      auto& row = aState.mRows[key];
      row.mValue = base::TextField(write, "value");
      ++row.mVersion;
    } else {
      aState.mRows.erase(key);
    }
  }
  if (aState.mFaults.mLostResponses > 0) {
    --aState.mFaults.mLostResponses;
    return MakeErrorResponse(503, "the response was lost");
  }
  out["committed"] = true;
  return MakeResponse(200, out);
}

auto SetFaults(PlatformState& aState, const json::object& aBody)
  -> net::HttpResponse
{
  aState.mFaults.mDown = base::BoolField(aBody, "down");
  aState.mFaults.mDelayMs = base::NumberField(aBody, "delay_ms");
  aState.mFaults.mLostResponses = base::NumberField(aBody, "lose_answers");
  return MakeResponse(200, {});
}

auto SetVms(PlatformState& aState, const json::object& aBody)
  -> net::HttpResponse
{
  if (const auto* vms = base::ArrayField(aBody, "vms")) {
    aState.mVms = *vms;
  }
  return MakeResponse(200, {});
}

auto ListVms(const PlatformState& aState) -> net::HttpResponse
{
  json::object out;
  out["vms"] = aState.mVms;
  return MakeResponse(200, out);
}

auto ReportCounts(const PlatformState& aState) -> net::HttpResponse
{
  json::object out;
  out["reads"] = aState.mReads;
  out["writes"] = aState.mWrites;
  return MakeResponse(200, out);
}

auto GetObject(const PlatformState& aState, const json::object& aBody)
  -> net::HttpResponse
{
  const auto it = aState.mObjects.find(base::TextField(aBody, "key"));
  json::object out;
  if (it != aState.mObjects.end()) {
    out["bytes"] = it->second;
  }
  return MakeResponse(200, out);
}

auto HandleRequest(PlatformState& aState, net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>
{
  const auto body = aRequest.mBody.empty() ? json::object()
                                           : *base::ParseObject(aRequest.mBody);
  const auto& target = aRequest.mTarget;
  if (target == "/faults") {
    co_return SetFaults(aState, body);
  }
  if (target == "/vms/set") {
    co_return SetVms(aState, body);
  }
  if (target == "/counts") {
    co_return ReportCounts(aState);
  }
  if (aState.mFaults.mDelayMs > 0) {
    co_await net::Sleep(base::Milliseconds(aState.mFaults.mDelayMs));
  }
  if (aState.mFaults.mDown) {
    co_return MakeErrorResponse(503, "down");
  }
  if (target == "/table/read") {
    co_return Read(aState, body);
  }
  if (target == "/table/scan") {
    co_return Scan(aState, body);
  }
  if (target == "/table/commit") {
    co_return Commit(aState, body);
  }
  if (target == "/vms/list") {
    co_return ListVms(aState);
  }
  if (target == "/objects/get") {
    co_return GetObject(aState, body);
  }
  if (target == "/objects/put") {
    aState.mObjects[base::TextField(body, "key")] =
      base::TextField(body, "bytes");
    co_return MakeResponse(200, {});
  }
  co_return MakeErrorResponse(404, "unknown path");
}

} // namespace

auto RunPlatform(net::IoPool& aPool, const StandinOptions& aOptions) -> void
{
  static PlatformState state;
  net::HttpServerOptions limits;
  limits.mBodyLimit = 64 * 1024 * 1024;
  static auto server =
    net::HttpServer(aPool, limits, [](net::HttpRequest aRequest) {
      return HandleRequest(state, std::move(aRequest));
    });
  const auto address = server.Listen(aOptions.mListen).value();
  std::cout << "listening platform=" << net::ToString(address) << std::endl;
}

} // namespace eelgrasspost::standin

#include "speccodec.h"

#include <set>

#include <xxhash.h>

#include "eelgrasspost/base/text.h"

namespace eelgrasspost::releasenote {

namespace {

constexpr auto kDeadlineRange =
  NumberRange{ 1, 24LL * 3600 * 1000, "milliseconds" };
constexpr auto kRetryRange = NumberRange{ 0, 100, "a percentage" };
constexpr auto kQueueRange = NumberRange{ 0, 100'000, "requests" };
constexpr auto kCpuRange =
  NumberRange{ 0, 1'000'000'000, "thousandths of a core" };
constexpr auto kMemoryRange = NumberRange{ 0, 1'000'000'000, "megabytes" };
constexpr auto kAcceleratorRange = NumberRange{ 0, 1'000'000, "accelerators" };

auto ReadEndpoint(const json::value& aValue,
                  const std::string& aPath,
                  ValidationErrors& aErrors) -> EndpointSpec
{
  EndpointSpec out;
  const auto* object = aValue.if_object();
  if (object == nullptr) {
    aErrors.push_back(
      aPath +
      ": is not an object; write {\"worker\": ID, \"address\": IP:PORT}");
    return out;
  }
  auto reader = FieldReader(*object, aPath, aErrors);
  out.mWorker = reader.Name("worker");
  const auto before = aErrors.size();
  const auto text = reader.Text("address");
  const auto address = net::ParseAddress(text);
  if (address.ok()) {
    out.mAddress = *address;
  } else if (aErrors.size() == before) {
    reader.AddError("address",
                    base::Cat("'", text, "' is not an address; write IP:PORT"));
  }
  reader.ReportUnknownFields();
  return out;
}

auto ReadEndpoints(FieldReader& aReader, ValidationErrors& aErrors)
  -> std::vector<EndpointSpec>
{
  std::vector<EndpointSpec> out;
  const auto before = aErrors.size();
  const auto* list = aReader.Array("endpoints");
  if (list == nullptr || list->empty()) {
    if (aErrors.size() == before) {
      aReader.AddError("endpoints", "is empty; list at least one endpoint");
    }
    return out;
  }
  std::set<std::string> workers;
  for (const auto& it : *list) {
    const auto path =
      base::Cat(aReader.PathOf("endpoints"), "[", out.size(), "]");
    out.push_back(ReadEndpoint(it, path, aErrors));
    const auto& worker = out.back().mWorker;
    if (!worker.empty() && !workers.insert(worker).second) {
      aErrors.push_back(base::Cat(path,
                                  ".worker: ",
                                  worker,
                                  " has an endpoint already; "
                                  "list each worker once"));
    }
  }
  return out;
}

} // namespace

auto BucketOf(std::string_view aName) -> std::size_t
{
  return XXH3_64bits(aName.data(), aName.size()) %
         SpecTable<ServiceSpec>::kBucketCount;
}

auto DigestOf(std::string_view aText) -> std::uint64_t
{
  return XXH3_64bits(aText.data(), aText.size());
}

auto ReadService(const json::object& aObject,
                 const std::string& aPath,
                 ValidationErrors& aErrors) -> ServiceSpec
{
  auto reader = FieldReader(aObject, aPath, aErrors);
  ServiceSpec out;
  out.mName = reader.Name("name");
  out.mEndpoints = ReadEndpoints(reader, aErrors);
  out.mIdempotent = reader.Bool("idempotent", out.mIdempotent);
  out.mDeadlineMs =
    reader.Number("deadline_ms", kDeadlineRange, out.mDeadlineMs);
  out.mRetryPercent =
    reader.Number("retry_percent", kRetryRange, out.mRetryPercent);
  out.mQueueLimit = reader.Number("queue_limit", kQueueRange, out.mQueueLimit);
  out.mSlotCpuMillis =
    reader.Number("slot_cpu_millis", kCpuRange, out.mSlotCpuMillis);
  out.mSlotMemoryMb =
    reader.Number("slot_memory_mb", kMemoryRange, out.mSlotMemoryMb);
  reader.ReportUnknownFields();
  return out;
}

auto ReadTeam(const json::object& aObject,
              const std::string& aPath,
              ValidationErrors& aErrors) -> TeamSpec
{
  auto reader = FieldReader(aObject, aPath, aErrors);
  TeamSpec out;
  out.mName = reader.Name("name");
  out.mQuota.mCpuMillis = reader.Number("cpu_millis", kCpuRange, 0);
  out.mQuota.mMemoryMb = reader.Number("memory_mb", kMemoryRange, 0);
  out.mQuota.mAccelerators =
    reader.Number("accelerators", kAcceleratorRange, 0);
  reader.ReportUnknownFields();
  return out;
}

auto ToJson(const ServiceSpec& aService) -> json::object
{
  json::array endpoints;
  for (const auto& it : aService.mEndpoints) {
    json::object endpoint;
    endpoint["worker"] = it.mWorker;
    endpoint["address"] = net::ToString(it.mAddress);
    endpoints.push_back(std::move(endpoint));
  }
  json::object out;
  out["name"] = aService.mName;
  out["endpoints"] = std::move(endpoints);
  out["idempotent"] = aService.mIdempotent;
  out["deadline_ms"] = aService.mDeadlineMs;
  out["retry_percent"] = aService.mRetryPercent;
  out["queue_limit"] = aService.mQueueLimit;
  out["slot_cpu_millis"] = aService.mSlotCpuMillis;
  out["slot_memory_mb"] = aService.mSlotMemoryMb;
  return out;
}

auto ToJson(const TeamSpec& aTeam) -> json::object
{
  json::object out;
  out["name"] = aTeam.mName;
  out["cpu_millis"] = aTeam.mQuota.mCpuMillis;
  out["memory_mb"] = aTeam.mQuota.mMemoryMb;
  out["accelerators"] = aTeam.mQuota.mAccelerators;
  return out;
}

} // namespace eelgrasspost::releasenote

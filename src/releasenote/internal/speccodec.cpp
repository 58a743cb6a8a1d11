#include "speccodec.h"

#include <set>

#include <xxhash.h>

#include "eelgrasspost/base/text.h"

namespace eelgrasspost::releasenote {

namespace {

constexpr auto kDeadline = NumberRange{ 1, 24LL * 3600 * 1000, "milliseconds" };
constexpr auto kRetries = NumberRange{ 0, 100, "a percentage" };
constexpr auto kQueue = NumberRange{ 0, 100'000, "requests" };
constexpr auto kCpu = NumberRange{ 0, 1'000'000'000, "thousandths of a core" };
constexpr auto kMemory = NumberRange{ 0, 1'000'000'000, "megabytes" };
constexpr auto kAccelerators = NumberRange{ 0, 1'000'000, "accelerators" };

auto ReadEndpoint(const json::value& aValue,
                  const std::string& aPlace,
                  Mistakes& aMistakes) -> EndpointSpec
{
  EndpointSpec out;
  const auto* object = aValue.if_object();
  if (object == nullptr) {
    aMistakes.push_back(
      aPlace + ": is no object; write {\"worker\": ID, \"address\": IP:PORT}");
    return out;
  }
  auto reader = FieldReader(*object, aPlace, aMistakes);
  out.mWorker = reader.Name("worker");
  const auto before = aMistakes.size();
  const auto text = reader.Text("address");
  const auto address = net::ParseAddress(text);
  if (address.ok()) {
    out.mAddress = *address;
  } else if (aMistakes.size() == before) {
    reader.Mistake("address",
                   base::Cat("'", text, "' is no address; write IP:PORT"));
  }
  reader.Finish();
  return out;
}

auto ReadEndpoints(FieldReader& aReader, Mistakes& aMistakes)
  -> std::vector<EndpointSpec>
{
  std::vector<EndpointSpec> out;
  const auto before = aMistakes.size();
  const auto* list = aReader.Array("endpoints");
  if (list == nullptr || list->empty()) {
    if (aMistakes.size() == before) {
      aReader.Mistake("endpoints", "is empty; list at least one endpoint");
    }
    return out;
  }
  std::set<std::string> workers;
  for (const auto& it : *list) {
    const auto place =
      base::Cat(aReader.PlaceOf("endpoints"), "[", out.size(), "]");
    out.push_back(ReadEndpoint(it, place, aMistakes));
    const auto& worker = out.back().mWorker;
    if (!worker.empty() && !workers.insert(worker).second) {
      aMistakes.push_back(base::Cat(place,
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
                 const std::string& aPlace,
                 Mistakes& aMistakes) -> ServiceSpec
{
  auto reader = FieldReader(aObject, aPlace, aMistakes);
  ServiceSpec out;
  out.mName = reader.Name("name");
  out.mEndpoints = ReadEndpoints(reader, aMistakes);
  out.mIdempotent = reader.Bool("idempotent", out.mIdempotent);
  out.mDeadlineMs = reader.Number("deadline_ms", kDeadline, out.mDeadlineMs);
  out.mRetryPercent =
    reader.Number("retry_percent", kRetries, out.mRetryPercent);
  out.mQueueLimit = reader.Number("queue_limit", kQueue, out.mQueueLimit);
  out.mSlotCpuMillis =
    reader.Number("slot_cpu_millis", kCpu, out.mSlotCpuMillis);
  out.mSlotMemoryMb =
    reader.Number("slot_memory_mb", kMemory, out.mSlotMemoryMb);
  reader.Finish();
  return out;
}

auto ReadTeam(const json::object& aObject,
              const std::string& aPlace,
              Mistakes& aMistakes) -> TeamSpec
{
  auto reader = FieldReader(aObject, aPlace, aMistakes);
  TeamSpec out;
  out.mName = reader.Name("name");
  out.mQuota.mCpuMillis = reader.Number("cpu_millis", kCpu, 0);
  out.mQuota.mMemoryMb = reader.Number("memory_mb", kMemory, 0);
  out.mQuota.mAccelerators = reader.Number("accelerators", kAccelerators, 0);
  reader.Finish();
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

#include "eelgrasspost/releasenote/notecodec.h"

#include "eelgrasspost/base/jsonfields.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/releasenote/releasenoteerrors.h"

namespace eelgrasspost::releasenote {

namespace {

namespace json = base::json;
using Errors = std::vector<std::string>;

auto ParseEndpoints(const json::object& aService,
                    const std::string& aPlace,
                    Errors& aErrors) -> std::vector<EndpointSpec>
{
  std::vector<EndpointSpec> out;
  const auto* endpoints = base::ArrayField(aService, "endpoints");
  if (endpoints == nullptr || endpoints->empty()) {
    aErrors.push_back(aPlace + ".endpoints: list at least one "
                               "{\"worker\": ID, \"address\": \"IP:PORT\"}");
    return out;
  }
  for (const auto& it : *endpoints) {
    const auto* object = it.if_object();
    const auto worker = object ? base::TextField(*object, "worker") : "";
    const auto address =
      net::ParseAddress(object ? base::TextField(*object, "address") : "");
    if (worker.empty() || !address.ok()) {
      aErrors.push_back(
        base::Cat(aPlace,
                  ".endpoints[",
                  out.size(),
                  "]: write {\"worker\": ID, \"address\": \"IP:PORT\"}"));
      out.emplace_back();
      continue;
    }
    out.push_back({ worker, *address });
  }
  return out;
}

auto ParseService(const json::object& aObject,
                  const std::string& aPlace,
                  Errors& aErrors) -> ServiceSpec
{
  ServiceSpec out;
  out.mName = base::TextField(aObject, "name");
  if (out.mName.empty()) {
    aErrors.push_back(aPlace + ".name: give the service a name");
  }
  out.mEndpoints = ParseEndpoints(aObject, aPlace, aErrors);
  out.mIdempotent = base::BoolField(aObject, "idempotent", out.mIdempotent);
  out.mDeadlineMs = base::NumberField(aObject, "deadline_ms", out.mDeadlineMs);
  out.mRetryPercent =
    base::NumberField(aObject, "retry_percent", out.mRetryPercent);
  out.mQueueLimit = base::NumberField(aObject, "queue_limit", out.mQueueLimit);
  out.mSlotCpuMillis =
    base::NumberField(aObject, "slot_cpu_millis", out.mSlotCpuMillis);
  out.mSlotMemoryMb =
    base::NumberField(aObject, "slot_memory_mb", out.mSlotMemoryMb);
  if (out.mDeadlineMs <= 0) {
    aErrors.push_back(aPlace + ".deadline_ms: write milliseconds above 0");
  }
  return out;
}

auto ParseTeam(const json::object& aObject,
               const std::string& aPlace,
               Errors& aErrors) -> TeamSpec
{
  TeamSpec out;
  out.mName = base::TextField(aObject, "name");
  if (out.mName.empty()) {
    aErrors.push_back(aPlace + ".name: give the team a name");
  }
  out.mQuota.mCpuMillis = base::NumberField(aObject, "cpu_millis");
  out.mQuota.mMemoryMb = base::NumberField(aObject, "memory_mb");
  out.mQuota.mAccelerators = base::NumberField(aObject, "accelerators");
  return out;
}

template<typename Spec, typename Parse>
auto ParseList(const json::object& aSection,
               std::string_view aKey,
               const std::string& aPlace,
               Errors& aErrors,
               Parse aParse) -> std::vector<Spec>
{
  std::vector<Spec> out;
  const auto* list = base::ArrayField(aSection, aKey);
  if (list == nullptr) {
    return out;
  }
  for (const auto& it : *list) {
    const auto place = base::Cat(aPlace, ".", aKey, "[", out.size(), "]");
    const auto* object = it.if_object();
    if (object == nullptr) {
      aErrors.push_back(place + ": write an object { ... }");
      out.emplace_back();
      continue;
    }
    out.push_back(aParse(*object, place, aErrors));
  }
  return out;
}

auto ParseNames(const json::object& aSection, std::string_view aKey)
  -> std::vector<std::string>
{
  std::vector<std::string> out;
  if (const auto* list = base::ArrayField(aSection, aKey)) {
    for (const auto& it : *list) {
      if (const auto* text = it.if_string()) {
        out.emplace_back(text->data(), text->size());
      }
    }
  }
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

auto ErrorOf(const Errors& aErrors) -> absl::Status
{
  return base::MakeError(kBadNote, base::Join(aErrors, "\n"));
}

} // namespace

auto ParseNote(std::string_view aText) -> absl::StatusOr<ReleaseNote>
{
  const auto root = base::ParseObject(aText);
  if (!root.ok()) {
    return base::MakeError(kBadNote, base::MessageOf(root.status()));
  }
  Errors errors;
  ReleaseNote out;
  out.mBase = static_cast<std::uint64_t>(base::NumberField(*root, "base"));
  if (!root->contains("base")) {
    errors.emplace_back("base: name the revision that the note builds on");
  }
  if (const auto* it = base::ObjectField(*root, "services")) {
    out.mAddedServices =
      ParseList<ServiceSpec>(*it, "add", "services", errors, ParseService);
    out.mChangedServices =
      ParseList<ServiceSpec>(*it, "change", "services", errors, ParseService);
    out.mWithdrawnServices = ParseNames(*it, "withdraw");
  }
  if (const auto* it = base::ObjectField(*root, "teams")) {
    out.mAddedTeams =
      ParseList<TeamSpec>(*it, "add", "teams", errors, ParseTeam);
    out.mChangedTeams =
      ParseList<TeamSpec>(*it, "change", "teams", errors, ParseTeam);
    out.mWithdrawnTeams = ParseNames(*it, "withdraw");
  }
  if (!errors.empty()) {
    return ErrorOf(errors);
  }
  return out;
}

auto EncodeState(const ReleaseState& aState) -> std::string
{
  json::array services;
  for (const auto& it : aState.mServices) {
    services.push_back(ToJson(it));
  }
  json::array teams;
  for (const auto& it : aState.mTeams) {
    teams.push_back(ToJson(it));
  }
  json::object out;
  out["revision"] = aState.mRevision;
  out["services"] = std::move(services);
  out["teams"] = std::move(teams);
  return base::ToText(out);
}

auto DecodeState(std::string_view aText) -> absl::StatusOr<ReleaseState>
{
  const auto root = base::ParseObject(aText);
  if (!root.ok()) {
    return root.status();
  }
  Errors errors;
  ReleaseState out;
  out.mRevision =
    static_cast<std::uint64_t>(base::NumberField(*root, "revision"));
  out.mServices =
    ParseList<ServiceSpec>(*root, "services", "state", errors, ParseService);
  out.mTeams = ParseList<TeamSpec>(*root, "teams", "state", errors, ParseTeam);
  if (!errors.empty()) {
    return ErrorOf(errors);
  }
  return out;
}

} // namespace eelgrasspost::releasenote

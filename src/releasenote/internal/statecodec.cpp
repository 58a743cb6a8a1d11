#include "eelgrasspost/base/text.h"
#include "eelgrasspost/releasenote/notecodec.h"
#include "eelgrasspost/releasenote/releasenoteerrors.h"
#include "noteapply.h"

namespace eelgrasspost::releasenote {

namespace {

constexpr auto kBucketCount = SpecTable<ServiceSpec>::kBucketCount;
constexpr auto kBucketsPerChunk = kBucketCount / kStateChunkCount;

template<typename Spec>
auto EncodeBuckets(const SpecTable<Spec>& aSpecs,
                   std::size_t aFirst,
                   std::size_t aCount) -> json::array
{
  json::array out;
  for (auto n = aFirst; n < aFirst + aCount; ++n) {
    const auto* bucket = aSpecs.BucketAt(n);
    if (bucket == nullptr) {
      continue;
    }
    for (const auto& it : *bucket) {
      out.push_back(ToJson(it));
    }
  }
  return out;
}

auto EncodeBucketRange(const ReleaseState& aState,
                       std::size_t aFirst,
                       std::size_t aCount) -> std::string
{
  json::object out;
  out["revision"] = aState.mRevision;
  out["services"] = EncodeBuckets(aState.mServices, aFirst, aCount);
  out["teams"] = EncodeBuckets(aState.mTeams, aFirst, aCount);
  return base::ToText(out);
}

template<typename Spec, typename Read>
auto AddSpecs(const json::object& aObject,
              std::string_view aKey,
              SpecTable<Spec>& aSpecs,
              ReleaseState& aState,
              ValidationErrors& aErrors,
              Read aRead) -> void
{
  const auto* list = base::ArrayField(aObject, aKey);
  for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
    const auto* object = (*list)[i].if_object();
    const auto path = base::Cat("state.", aKey, "[", i, "]");
    if (object == nullptr) {
      aErrors.push_back(path + ": is not an object");
      continue;
    }
    PutSpec(aState, aSpecs, aRead(*object, path, aErrors));
  }
}

} // namespace

auto EncodeStateChunk(const ReleaseState& aState, std::size_t aChunkIndex)
  -> std::string
{
  return EncodeBucketRange(
    aState, aChunkIndex * kBucketsPerChunk, kBucketsPerChunk);
}

auto AddStateChunk(ReleaseState& aState, std::string_view aText) -> absl::Status
{
  const auto root = base::ParseObject(aText);
  if (!root.ok()) {
    return base::MakeError(kBadState, base::MessageOf(root.status()));
  }
  ValidationErrors errors;
  aState.mRevision =
    static_cast<std::uint64_t>(base::NumberField(*root, "revision"));
  AddSpecs(*root, "services", aState.mServices, aState, errors, ReadService);
  AddSpecs(*root, "teams", aState.mTeams, aState, errors, ReadTeam);
  if (!errors.empty()) {
    return base::MakeError(kBadState, base::Join(errors, "\n"));
  }
  return absl::OkStatus();
}

auto EncodeState(const ReleaseState& aState) -> std::string
{
  return EncodeBucketRange(aState, 0, kBucketCount);
}

auto DecodeState(std::string_view aText) -> absl::StatusOr<ReleaseState>
{
  ReleaseState out;
  const auto status = AddStateChunk(out, aText);
  if (!status.ok()) {
    return status;
  }
  return out;
}

} // namespace eelgrasspost::releasenote

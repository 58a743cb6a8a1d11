#include "keyrecord.h"

#include <absl/strings/escaping.h>
#include <xxhash.h>

#include "eelgrasspost/base/jsonfields.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/net/codec.h"

namespace eelgrasspost::idempotency {

namespace {

namespace json = base::json;

/** Serialized form of a recorded response. */
struct StoredResponse
{
  std::uint32_t mStatus = 0;
  std::vector<net::HttpField> mFields;
  std::string mBody;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mStatus, mFields, mBody);
  }
};

} // namespace

auto EncodeRecord(const KeyRecord& aRecord) -> std::string
{
  json::object out;
  out["state"] = std::string(base::NameOf(kKeyStateNames, aRecord.mState));
  out["token"] = aRecord.mToken;
  out["digest"] = aRecord.mDigest;
  out["claimed_ms"] = aRecord.mClaimedMs;
  if (!aRecord.mResponse.empty()) {
    out["answer"] = aRecord.mResponse;
  }
  if (!aRecord.mObject.empty()) {
    out["object"] = aRecord.mObject;
  }
  return base::ToText(out);
}

auto DecodeRecord(std::string_view aText) -> absl::StatusOr<KeyRecord>
{
  const auto object = base::ParseObject(aText);
  if (!object.ok()) {
    return object.status();
  }
  const auto state =
    base::ValueOf(kKeyStateNames, base::TextField(*object, "state"));
  if (!state) {
    return absl::InvalidArgumentError(
      "the row of an idempotency key has no known state");
  }
  KeyRecord out;
  out.mState = *state;
  out.mToken = base::TextField(*object, "token");
  out.mDigest = base::TextField(*object, "digest");
  out.mClaimedMs = base::NumberField(*object, "claimed_ms");
  out.mResponse = base::TextField(*object, "answer");
  out.mObject = base::TextField(*object, "object");
  return out;
}

auto EncodeResponse(const net::HttpResponse& aResponse) -> std::string
{
  const auto stored =
    StoredResponse{ aResponse.mStatus, aResponse.mFields, aResponse.mBody };
  return absl::Base64Escape(net::Encode(stored));
}

auto DecodeResponse(std::string_view aText) -> absl::StatusOr<net::HttpResponse>
{
  std::string bytes;
  if (!absl::Base64Unescape({ aText.data(), aText.size() }, &bytes)) {
    return absl::InvalidArgumentError(
      "a recorded response is not valid base64");
  }
  auto stored = net::Decode<StoredResponse>(bytes);
  if (!stored.ok()) {
    return stored.status();
  }
  return net::HttpResponse{ stored->mStatus,
                            std::move(stored->mFields),
                            std::move(stored->mBody) };
}

auto RowKeyOf(std::string_view aService, std::string_view aKey) -> std::string
{
  const auto name = base::Cat(aService, "/", aKey);
  const auto hash = XXH3_64bits(name.data(), name.size());
  return base::Cat(kRowPrefix, fmt::format("{:016x}", hash), "/", name);
}

auto ChooseClaimAction(const KeyRecord& aRecord, std::string_view aDigest)
  -> ClaimAction
{
  if (aRecord.mState == KeyState::NotRun) {
    return ClaimAction::ClaimAgain;
  }
  if (aRecord.mDigest != aDigest) {
    return ClaimAction::ReportReused;
  }
  switch (aRecord.mState) {
    case KeyState::Answered:
      return ClaimAction::ReplayRecorded;
    case KeyState::Claimed:
      return ClaimAction::WaitForFirst;
    default:
      return ClaimAction::ReportUnknown;
  }
}

auto IsExpired(const KeyRecord& aRecord,
               std::int64_t aNowMs,
               base::Milliseconds aRetention) -> bool
{
  return aNowMs - aRecord.mClaimedMs >= aRetention.count();
}

} // namespace eelgrasspost::idempotency

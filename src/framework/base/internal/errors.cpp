#include "eelgrasspost/base/errors.h"

#include "eelgrasspost/base/text.h"
#include <absl/strings/cord.h>

namespace eelgrasspost::base {

namespace {

constexpr char kKindPayload[] = "eelgrasspost/kind";

} // namespace

auto MakeError(const ErrorKind& aKind, std::string_view aDetail) -> absl::Status
{
  auto status =
    absl::Status(aKind.mCode, Cat(aDetail, "; remedy: ", aKind.mRemedy));
  status.SetPayload(kKindPayload, absl::Cord(std::string(aKind.mName)));
  return status;
}

auto RestoreError(absl::StatusCode aCode,
                  std::string_view aKindName,
                  std::string_view aMessage) -> absl::Status
{
  auto status =
    absl::Status(aCode, absl::string_view(aMessage.data(), aMessage.size()));
  status.SetPayload(kKindPayload, absl::Cord(std::string(aKindName)));
  return status;
}

auto IsKind(const absl::Status& aStatus, const ErrorKind& aKind) -> bool
{
  return KindName(aStatus) == aKind.mName;
}

auto KindName(const absl::Status& aStatus) -> std::string
{
  if (auto payload = aStatus.GetPayload(kKindPayload)) {
    return std::string(*payload);
  }
  return absl::StatusCodeToString(aStatus.code());
}

} // namespace eelgrasspost::base

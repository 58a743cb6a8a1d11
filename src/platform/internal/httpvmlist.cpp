#include "eelgrasspost/base/text.h"
#include "eelgrasspost/platform/platformerrors.h"
#include "httpports.h"
#include "platformcall.h"

namespace eelgrasspost::platform {

namespace {

auto ToVm(const base::json::object& aObject) -> std::optional<VmRecord>
{
  const auto kind =
    base::ValueOf(kVmKindNames, base::TextField(aObject, "kind"));
  const auto state =
    base::ValueOf(kVmStateNames, base::TextField(aObject, "state", "live"));
  const auto control = net::ParseAddress(base::TextField(aObject, "control"));
  if (!kind || !state || !control.ok()) {
    return std::nullopt;
  }
  VmRecord vm;
  vm.mId = base::TextField(aObject, "id");
  vm.mKind = *kind;
  vm.mState = *state;
  vm.mRegion = base::TextField(aObject, "region");
  vm.mFailureDomain = base::TextField(aObject, "failure_domain");
  vm.mRack = base::TextField(aObject, "rack");
  vm.mControl = *control;
  vm.mSlots = base::NumberField(aObject, "slots");
  vm.mSupportsFencing = base::BoolField(aObject, "fences", true);
  vm.mResources.mCpuMillis = base::NumberField(aObject, "cpu_millis");
  vm.mResources.mMemoryMb = base::NumberField(aObject, "memory_mb");
  vm.mResources.mAccelerators = base::NumberField(aObject, "accelerators");
  return vm;
}

} // namespace

HttpVmList::HttpVmList(net::HttpClient& aClient, net::Address aService)
  : mClient(aClient)
  , mService(std::move(aService))
{
}

auto HttpVmList::List(base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<std::vector<VmRecord>>>
{
  const auto response =
    co_await PostJson(mClient, mService, "/vms/list", {}, aDeadline);
  if (!response.ok()) {
    co_return response.status();
  }
  const auto* vms = base::ArrayField(response->mBody, "vms");
  if (vms == nullptr) {
    co_return base::MakeError(kMalformedResponse,
                              "a VM list response lacks vms");
  }
  std::vector<VmRecord> out;
  for (const auto& it : *vms) {
    auto vm = it.is_object() ? ToVm(it.get_object()) : std::nullopt;
    if (!vm) {
      co_return base::MakeError(kMalformedResponse,
                                "a VM list response has a malformed record");
    }
    out.push_back(*std::move(vm));
  }
  co_return out;
}

} // namespace eelgrasspost::platform

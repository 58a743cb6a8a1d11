#pragma once

#include <vector>

#include <absl/status/statusor.h>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/net/asio.h"
#include "eelgrasspost/platform/platformtypes.h"

namespace eelgrasspost::platform {

/** The platform's list of VMs, which lags behind their actual state. */
class IVmList
{
public:
  virtual ~IVmList() = default;

  virtual auto List(base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::vector<VmRecord>>> = 0;
};

} // namespace eelgrasspost::platform

#pragma once

#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/net/asio.h"

namespace eelgrasspost::platform {

/** The platform's object store. */
class IObjectStore
{
public:
  virtual ~IObjectStore() = default;

  virtual auto Put(std::string aKey,
                   std::string aBytes,
                   base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> = 0;
  /** Returns nullopt if the object does not exist. */
  virtual auto Get(std::string aKey, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::optional<std::string>>> = 0;
};

} // namespace eelgrasspost::platform

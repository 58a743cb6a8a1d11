#pragma once

#include <span>
#include <string>

#include <absl/status/statusor.h>

#include "eelgrasspost/base/settings.h"
#include "eelgrasspost/dispatch/dispatchtypes.h"

namespace eelgrasspost::app {

/** All settings of an entry on the users' platform. */
auto DispatchSettingFields() -> std::span<const base::SettingField>;

/** Reads and validates the settings of an entry on the users' platform. */
auto LoadDispatchSettings(const std::string& aPath)
  -> absl::StatusOr<dispatch::DispatchSettings>;

} // namespace eelgrasspost::app

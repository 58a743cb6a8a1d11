#pragma once

#include <string>

#include "commands.h"

namespace eelgrasspost::app {

/** Runs an entry on the users' platform until it is told to stop. */
auto RunDispatch(const std::string& aSettingsPath) -> ExitCode;

} // namespace eelgrasspost::app

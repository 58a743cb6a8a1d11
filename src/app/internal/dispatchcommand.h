#pragma once

#include <string>

#include "commands.h"

namespace eelgrasspost::app {

/** Runs an entry on the users' platform until it receives a stop signal. */
auto RunDispatch(const std::string& aSettingsPath) -> ExitCode;

} // namespace eelgrasspost::app

#pragma once

#include <string>

#include "commands.h"

namespace eelgrasspost::app {

/** Checks a configuration of the platform before it is sent. aInForce: file
 * with the one that is in force; empty if it is not known. */
auto CheckConfigurationFile(const std::string& aFile,
                            const std::string& aInForce) -> ExitCode;

} // namespace eelgrasspost::app

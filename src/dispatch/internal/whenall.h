#pragma once

#include <vector>

#include "eelgrasspost/net/asio.h"

namespace eelgrasspost::dispatch {

/** Runs tasks side by side; true when all of them gave true. */
auto WhenAll(std::vector<net::Task<bool>> aTasks) -> net::Task<bool>;

} // namespace eelgrasspost::dispatch

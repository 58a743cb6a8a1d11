#pragma once

#include <vector>

#include "eelgrasspost/net/asio.h"

namespace eelgrasspost::dispatch {

/** Runs tasks concurrently; returns true if all of them returned true. */
auto WhenAll(std::vector<net::Task<bool>> aTasks) -> net::Task<bool>;

} // namespace eelgrasspost::dispatch

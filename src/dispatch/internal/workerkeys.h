#pragma once

#include <string>
#include <string_view>

namespace eelgrasspost::dispatch {

/** Returns the key of a worker's row, a prefix and the id. Where that is longer
 * than a key of the store may be, a digest stands for the id; the row's value
 * names it. */
auto WorkerKey(std::string_view aPrefix, std::string_view aWorker)
  -> std::string;

} // namespace eelgrasspost::dispatch

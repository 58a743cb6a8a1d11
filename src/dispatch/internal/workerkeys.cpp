#include "workerkeys.h"

#include <fmt/format.h>
#include <xxhash.h>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/dispatch/iplatform.h"

namespace eelgrasspost::dispatch {

auto WorkerKey(std::string_view aPrefix, std::string_view aWorker)
  -> std::string
{
  if (aPrefix.size() + aWorker.size() <= kMaxKeyBytes) {
    return base::Cat(aPrefix, aWorker);
  }
  const auto digest = XXH3_128bits(aWorker.data(), aWorker.size());
  return base::Cat(aPrefix,
                   fmt::format("#{:016x}{:016x}", digest.high64, digest.low64));
}

} // namespace eelgrasspost::dispatch

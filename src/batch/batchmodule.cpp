#include "eelgrasspost/batch/batchmodule.h"

#include "internal/jobs.h"

namespace eelgrasspost::batch {

auto MakeJobs(BatchParts aParts, BatchOptions aOptions)
  -> std::unique_ptr<IJobs>
{
  return std::make_unique<Jobs>(aParts, aOptions);
}

} // namespace eelgrasspost::batch

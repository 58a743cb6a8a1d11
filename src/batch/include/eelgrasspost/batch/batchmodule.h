#pragma once

#include <memory>

#include "eelgrasspost/batch/ijobs.h"
#include "eelgrasspost/ownership/iownership.h"
#include "eelgrasspost/platform/itable.h"
#include "eelgrasspost/platform/iworker.h"

namespace eelgrasspost::batch {

struct BatchOptions
{
  base::Milliseconds mTick{ 200 };
  base::Milliseconds mLease{ 5000 };
  base::Milliseconds mCallTimeout{ 2000 };
};

struct BatchParts
{
  platform::ITable& mTable;
  platform::IWorker& mWorker;
  ownership::IOwnership& mOwnership;
};

auto MakeJobs(BatchParts aParts, BatchOptions aOptions)
  -> std::unique_ptr<IJobs>;

} // namespace eelgrasspost::batch

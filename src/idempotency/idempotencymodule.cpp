#include "eelgrasspost/idempotency/idempotencymodule.h"

#include "internal/claimer.h"

namespace eelgrasspost::idempotency {

auto MakeIdempotency(IdempotencyDependencies aDependencies,
                     IdempotencyOptions aOptions)
  -> std::unique_ptr<IIdempotency>
{
  return std::make_unique<Claimer>(std::move(aDependencies), aOptions);
}

} // namespace eelgrasspost::idempotency

#include "eelgrasspost/idempotency/idempotencymodule.h"

#include "internal/claimer.h"

namespace eelgrasspost::idempotency {

auto MakeIdempotency(IdempotencyParts aParts, IdempotencyOptions aOptions)
  -> std::unique_ptr<IIdempotency>
{
  return std::make_unique<Claimer>(std::move(aParts), aOptions);
}

} // namespace eelgrasspost::idempotency

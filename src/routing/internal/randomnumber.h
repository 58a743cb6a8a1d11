#pragma once

#include <cstdint>
#include <random>

namespace eelgrasspost::routing {

/** Random bits from a thread-local generator. */
inline auto RandomNumber() -> std::uint64_t
{
  thread_local auto generator = std::mt19937_64(std::random_device()());
  return generator();
}

} // namespace eelgrasspost::routing

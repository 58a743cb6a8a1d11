#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <absl/status/statusor.h>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/net/asio.h"
#include "eelgrasspost/releasenote/releasenotetypes.h"

namespace eelgrasspost::releasenote {

/** The release notes in force at this entry. */
class IReleaseNotes
{
public:
  virtual ~IReleaseNotes() = default;

  /** The newest state that this entry knows; never goes back. Null until one
   * is known. Takes no lock. */
  virtual auto InForce() const -> std::shared_ptr<const ReleaseState> = 0;
  /** Accepts a note by one conditional write; gives its revision. */
  virtual auto Submit(std::string aNoteText,
                      std::string aActor,
                      base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::uint64_t>> = 0;
  /** Polls the table and the peers until the process ends. */
  virtual auto Run() -> net::Task<void> = 0;
};

} // namespace eelgrasspost::releasenote

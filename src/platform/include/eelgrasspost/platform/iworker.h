#pragma once

#include <vector>

#include <absl/status/statusor.h>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/net/address.h"
#include "eelgrasspost/net/asio.h"
#include "eelgrasspost/platform/platformtypes.h"

namespace eelgrasspost::platform {

/**
 * The agent of a worker. Each command carries a fencing token. A worker that
 * has seen a higher token rejects the command with kFenced and does nothing.
 * docs/worker-contract.md states the guarantees for workers without fencing.
 */
class IWorker
{
public:
  virtual ~IWorker() = default;

  /** Raises the worker's highest token; lower tokens are rejected from then on.
   * The report shows the state after the token was raised. */
  virtual auto Claim(net::Address aWorker,
                     FencingToken aToken,
                     base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<WorkerReport>> = 0;
  /** Reads the report; needs no token. */
  virtual auto Report(net::Address aWorker, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<WorkerReport>> = 0;
  /** Starts attempts. Idempotent for attempts that the worker knows. */
  virtual auto Start(net::Address aWorker,
                     FencingToken aToken,
                     std::vector<StartCommand> aCommands,
                     base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> = 0;
  /** Extends the leases of running attempts. */
  virtual auto Renew(net::Address aWorker,
                     FencingToken aToken,
                     std::vector<AttemptRef> aAttempts,
                     base::Milliseconds aLease,
                     base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> = 0;
  /** Stops attempts, after a checkpoint if aCheckpoint is set. */
  virtual auto Stop(net::Address aWorker,
                    FencingToken aToken,
                    std::vector<AttemptRef> aAttempts,
                    bool aCheckpoint,
                    base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> = 0;
  /** Limits attempts to a percentage of their CPU allocation. */
  virtual auto Throttle(net::Address aWorker,
                        FencingToken aToken,
                        std::vector<AttemptRef> aAttempts,
                        int aPercent,
                        base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> = 0;
  /** Lets the worker drop ended attempts whose outcome has been recorded. */
  virtual auto Forget(net::Address aWorker,
                      FencingToken aToken,
                      std::vector<AttemptRef> aAttempts,
                      base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> = 0;
};

/** Header fields of requests to endpoints and of their refusals. */
inline constexpr std::string_view kFencingTokenField = "Fencing-Token";
inline constexpr std::string_view kAttemptIdField = "Attempt-Id";
inline constexpr std::string_view kRequestIdField = "Request-Id";
inline constexpr std::string_view kDeadlineField = "Deadline-Ms";
/** Present in a response if the endpoint did not run the request. */
inline constexpr std::string_view kRefusedField = "Refused";
inline constexpr std::string_view kRefusedFenced = "fenced";
inline constexpr std::string_view kRefusedLeaving = "leaving";

} // namespace eelgrasspost::platform

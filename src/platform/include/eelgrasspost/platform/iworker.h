#pragma once

#include <vector>

#include <absl/status/statusor.h>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/net/address.h"
#include "eelgrasspost/net/asio.h"
#include "eelgrasspost/platform/platformtypes.h"

namespace eelgrasspost::platform {

/**
 * The agent of a worker. Each command carries a fencing token; the worker
 * refuses a token below the highest that it has seen with kFenced and does
 * nothing. docs/worker-contract.md says what holds if a worker cannot fence.
 */
class IWorker
{
public:
  virtual ~IWorker() = default;

  /** Raises the worker's highest token; from then on lower ones are refused.
   * The report is of the moment after that. */
  virtual auto Claim(net::Address aWorker,
                     FencingToken aToken,
                     base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<WorkerReport>> = 0;
  /** Reads the report without a command. */
  virtual auto Report(net::Address aWorker, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<WorkerReport>> = 0;
  /** Starts attempts; starting one again that the worker knows is harmless. */
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
  /** Stops attempts, after a checkpoint if asked. */
  virtual auto Stop(net::Address aWorker,
                    FencingToken aToken,
                    std::vector<AttemptRef> aAttempts,
                    bool aCheckpoint,
                    base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> = 0;
  /** Limits attempts to a share of their processors, in percent. */
  virtual auto Throttle(net::Address aWorker,
                        FencingToken aToken,
                        std::vector<AttemptRef> aAttempts,
                        int aPercent,
                        base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> = 0;
  /** Lets the worker forget ended attempts that have been recorded. */
  virtual auto Forget(net::Address aWorker,
                      FencingToken aToken,
                      std::vector<AttemptRef> aAttempts,
                      base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> = 0;
};

/** Fields of requests to endpoints and of their refusals. */
inline constexpr std::string_view kFencingTokenField = "Fencing-Token";
inline constexpr std::string_view kAttemptIdField = "Attempt-Id";
inline constexpr std::string_view kRequestIdField = "Request-Id";
inline constexpr std::string_view kDeadlineField = "Deadline-Ms";
/** Present in an answer when the endpoint did not run the request. */
inline constexpr std::string_view kRefusedField = "Refused";
inline constexpr std::string_view kRefusedFenced = "fenced";
inline constexpr std::string_view kRefusedLeaving = "leaving";

} // namespace eelgrasspost::platform

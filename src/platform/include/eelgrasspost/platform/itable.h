#pragma once

#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/net/asio.h"
#include "eelgrasspost/platform/platformtypes.h"

namespace eelgrasspost::platform {

/** Purpose of a table call; each has its own share of the call rate. */
enum class TableUse
{
  ReleaseNote,
  Ownership,
  IdempotencyKey,
  Batch,
  Audit,
};

inline constexpr auto kTableUseNames = std::array{
  base::EnumName<TableUse>{ TableUse::ReleaseNote, "release_note" },
  base::EnumName<TableUse>{ TableUse::Ownership, "ownership" },
  base::EnumName<TableUse>{ TableUse::IdempotencyKey, "idempotency_key" },
  base::EnumName<TableUse>{ TableUse::Batch, "batch" },
  base::EnumName<TableUse>{ TableUse::Audit, "audit" },
};

/** The platform's transactional table. Errors: platformerrors.h. */
class ITable
{
public:
  virtual ~ITable() = default;

  /** Reads a row. Returns nullopt if it does not exist. */
  virtual auto Read(TableUse aUse,
                    std::string aKey,
                    base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::optional<TableRow>>> = 0;
  /** Reads rows with a key prefix in key order, starting after aAfter. */
  virtual auto Scan(TableUse aUse,
                    std::string aPrefix,
                    std::string aAfter,
                    std::size_t aLimit,
                    base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::vector<TableRow>>> = 0;
  /** Applies all writes or none. After kNoResponse the outcome is unknown. */
  virtual auto Commit(TableUse aUse,
                      std::vector<TableWrite> aWrites,
                      base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> = 0;
};

} // namespace eelgrasspost::platform

#pragma once

#include "eelgrasspost/base/errors.h"

namespace eelgrasspost::audit {

inline constexpr auto kBadRecord = base::ErrorKind{
  "bad_audit_record",
  absl::StatusCode::kDataLoss,
  "check that all entries run the same version",
};

} // namespace eelgrasspost::audit

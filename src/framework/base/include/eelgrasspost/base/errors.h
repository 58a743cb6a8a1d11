#pragma once

#include <string>
#include <string_view>

#include <absl/status/status.h>

namespace eelgrasspost::base {

/**
 * One kind of error of a module: its name, its status code and the remedy that
 * its messages suggest. Each module lists its kinds in <module>errors.h.
 */
struct ErrorKind
{
  std::string_view mName;
  absl::StatusCode mCode;
  std::string_view mRemedy;
};

/** Builds a status whose message is "<detail>; remedy: <remedy>". */
auto MakeError(const ErrorKind& aKind, std::string_view aDetail)
  -> absl::Status;

/** Rebuilds a status that was received from another process, from its code, the
 * name of its kind and its complete message. */
auto RestoreError(absl::StatusCode aCode,
                  std::string_view aKindName,
                  std::string_view aMessage) -> absl::Status;

/** Returns whether a status was built from a kind. */
auto IsKind(const absl::Status& aStatus, const ErrorKind& aKind) -> bool;

/** Returns the name of the kind that a status was built from; without a kind,
 * the name of its status code. */
auto KindName(const absl::Status& aStatus) -> std::string;

} // namespace eelgrasspost::base

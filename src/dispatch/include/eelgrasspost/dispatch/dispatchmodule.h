#pragma once

#include <memory>

#include <absl/status/status.h>

#include "eelgrasspost/dispatch/dispatchtypes.h"

namespace eelgrasspost::dispatch {

/** The ports through which an entry speaks to the platform. */
struct PlatformInterfaces
{
  ISharedStore& mStore;
  IWorkerOrders& mWorkers;
  const IFormats& mFormats;
};

/** An entry that runs jobs on the platform. */
class IDispatchEntry
{
public:
  virtual ~IDispatchEntry() = default;

  virtual auto Start() -> absl::Status = 0;
  /** Runs until the process is told to stop. */
  virtual auto Run() -> void = 0;
};

/** Makes an entry; the pool and the ports must outlive it. */
auto MakeDispatchEntry(net::IoPool& aPool,
                       DispatchSettings aSettings,
                       PlatformInterfaces aPlatform)
  -> std::unique_ptr<IDispatchEntry>;

} // namespace eelgrasspost::dispatch

#pragma once

#include <memory>

#include <absl/status/status.h>

#include "eelgrasspost/dispatch/dispatchtypes.h"

namespace eelgrasspost::dispatch {

/** Interfaces to the platform that an entry uses. */
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
  /** Runs until the process receives a stop signal. */
  virtual auto Run() -> void = 0;
};

/** Creates an entry; the pool and the platform interfaces must outlive it. */
auto MakeDispatchEntry(net::IoPool& aPool,
                       DispatchSettings aSettings,
                       PlatformInterfaces aPlatform)
  -> std::unique_ptr<IDispatchEntry>;

} // namespace eelgrasspost::dispatch

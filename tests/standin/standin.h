#pragma once

#include <string>

#include "eelgrasspost/base/jsonfields.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/net/http.h"
#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::standin {

namespace json = base::json;

inline auto MakeResponse(unsigned aStatus, const json::object& aBody)
  -> net::HttpResponse
{
  return { aStatus, {}, base::ToText(aBody) };
}

inline auto MakeErrorResponse(unsigned aStatus, const std::string& aText)
  -> net::HttpResponse
{
  json::object body;
  body["error"] = aText;
  return MakeResponse(aStatus, body);
}

/** Options of a stand-in process; each process simulates one role. */
struct StandinOptions
{
  net::Address mListen{ "127.0.0.1", 0 };
  /** Number of workers that a process of the worker role simulates. */
  int mCount = 1;
  std::string mPrefix = "worker-";
  int mSlots = 8;
};

/** Simulates the table service, the object store and the VM list. */
auto RunPlatform(net::IoPool& aPool, const StandinOptions& aOptions) -> void;
/** Simulates workers: their agents, endpoints and running tasks. */
auto RunWorkers(net::IoPool& aPool, const StandinOptions& aOptions) -> void;
/** Relays TCP and UDP traffic and injects faults into it. */
auto RunProxy(net::IoPool& aPool, const StandinOptions& aOptions) -> void;

} // namespace eelgrasspost::standin

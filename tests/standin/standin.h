#pragma once

#include <string>

#include "eelgrasspost/base/jsonfields.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/net/http.h"
#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::standin {

namespace json = base::json;

inline auto Reply(unsigned aStatus, const json::object& aBody)
  -> net::HttpResponse
{
  return { aStatus, {}, base::ToText(aBody) };
}

inline auto ReplyError(unsigned aStatus, const std::string& aText)
  -> net::HttpResponse
{
  json::object body;
  body["error"] = aText;
  return Reply(aStatus, body);
}

/** Options of a stand-in; each process plays one role. */
struct StandinOptions
{
  net::Address mListen{ "127.0.0.1", 0 };
  /** How many workers a worker process plays. */
  int mCount = 1;
  std::string mPrefix = "worker-";
  int mSlots = 8;
};

/** Plays the table service, the object store and the VM list. */
auto RunPlatform(net::IoPool& aPool, const StandinOptions& aOptions) -> void;
/** Plays workers: agents, endpoints and the tasks that they run. */
auto RunWorkers(net::IoPool& aPool, const StandinOptions& aOptions) -> void;
/** Relays TCP and UDP links and injects faults into them. */
auto RunProxy(net::IoPool& aPool, const StandinOptions& aOptions) -> void;

} // namespace eelgrasspost::standin

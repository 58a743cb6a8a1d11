#pragma once

#include <memory>
#include <string>
#include <vector>

#include "standin.h"

namespace eelgrasspost::standin {

/** Faults of one link for one source IP; "*" matches any. */
struct LinkFault
{
  std::string mFrom = "*";
  /** Holds back bytes in one direction until the fault is cleared; datagrams
   * to the upstream are dropped. */
  bool mBlocksToUpstream = false;
  bool mBlocksToClient = false;
  bool mRefusesConnections = false;
  std::int64_t mDelayMs = 0;
  /** Added to mDelayMs, for delays shorter than a millisecond; TCP only. */
  std::int64_t mDelayUs = 0;
  /** Closes a connection after so many bytes to the client; negative means
   * never. */
  std::int64_t mCloseAfterBytesToClient = -1;
  std::int64_t mDropPercent = 0;
  std::int64_t mDuplicatePercent = 0;
};

/** Relays TCP connections and UDP datagrams from a listening address to an
 * upstream. */
struct ProxyLink : std::enable_shared_from_this<ProxyLink>
{
  std::string mName;
  net::Address mListen;
  net::Address mUpstream;
  std::vector<LinkFault> mFaults;

  /** The fault of a source IP; falls back to that of "*", then to none. */
  auto FaultFor(const std::string& aSource) const -> LinkFault;
  auto SetFault(const LinkFault& aFault) -> void;
};

using ProxyLinkPtr = std::shared_ptr<ProxyLink>;

/** Binds the link's address and starts relaying on thread 0 of the pool. */
auto StartLink(net::IoPool& aPool, const ProxyLinkPtr& aLink) -> void;

} // namespace eelgrasspost::standin

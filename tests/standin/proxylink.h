#pragma once

#include <memory>
#include <string>
#include <vector>

#include "standin.h"

namespace eelgrasspost::standin {

/** Faults of one link for one source IP; "*" stands for any. */
struct LinkFault
{
  std::string mFrom = "*";
  /** Holds back bytes towards the upstream, or back, until it is lifted. */
  bool mCutTo = false;
  bool mCutBack = false;
  bool mRefuse = false;
  std::int64_t mDelayMs = 0;
  /** Microseconds beside those milliseconds. */
  std::int64_t mDelayUs = 0;
  /** Closes a connection after so many bytes back; negative never does. */
  std::int64_t mCloseAfterBack = -1;
  std::int64_t mDropPercent = 0;
  std::int64_t mDuplicatePercent = 0;
};

/** A TCP and UDP relay from a listening address to an upstream. */
struct ProxyLink : std::enable_shared_from_this<ProxyLink>
{
  std::string mName;
  net::Address mListen;
  net::Address mUpstream;
  std::vector<LinkFault> mFaults;

  /** The fault for a source; that of "*" or none if it has none of its own. */
  auto FaultFor(const std::string& aSource) const -> LinkFault;
  auto SetFault(const LinkFault& aFault) -> void;
};

using ProxyLinkPtr = std::shared_ptr<ProxyLink>;

/** Binds the link's address and starts to relay on thread 0. */
auto StartLink(net::IoPool& aPool, const ProxyLinkPtr& aLink) -> void;

} // namespace eelgrasspost::standin

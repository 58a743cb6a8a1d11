#include "evacuations.h"

#include <algorithm>

namespace eelgrasspost::dispatch {

auto IsInForce(const EvacuationNotice& aNotice) -> bool
{
  return aNotice.mRequestedAt > aNotice.mWithdrawnAt;
}

auto DomainsInForce(const Evacuations& aKnown) -> cell::DomainSet
{
  cell::DomainSet out;
  for (const auto& [domain, it] : aKnown) {
    if (IsInForce(it)) {
      out.insert(domain);
    }
  }
  return out;
}

auto NoteRequest(Evacuations& aKnown,
                 const std::string& aDomain,
                 std::uint64_t aVersion) -> bool
{
  auto& notice = aKnown[aDomain];
  notice.mDomain = aDomain;
  const auto wasInForce = IsInForce(notice);
  notice.mRequestedAt = std::max(notice.mRequestedAt, aVersion);
  return IsInForce(notice) != wasInForce;
}

auto NoteWithdrawal(Evacuations& aKnown,
                    const std::string& aDomain,
                    std::uint64_t aVersion) -> bool
{
  const auto it = aKnown.find(aDomain);
  if (it == aKnown.end()) {
    return false;
  }
  auto& notice = it->second;
  const auto wasInForce = IsInForce(notice);
  notice.mWithdrawnAt = std::max(notice.mWithdrawnAt, aVersion);
  return IsInForce(notice) != wasInForce;
}

auto NoteExisting(Evacuations& aKnown,
                  const cell::DomainSet& aExisting,
                  std::uint64_t aVersion) -> bool
{
  auto out = false;
  for (auto& [domain, it] : aKnown) {
    if (IsInForce(it) && it.mRequestedAt <= aVersion &&
        !aExisting.contains(domain)) {
      it.mWithdrawnAt = aVersion;
      out = true;
    }
  }
  return out;
}

auto AdoptNotices(Evacuations& aKnown,
                  const std::vector<EvacuationNotice>& aNotices,
                  std::uint64_t aReadVersion) -> bool
{
  auto out = false;
  for (const auto& it : aNotices) {
    const auto known = aKnown.find(it.mDomain);
    const auto isRead =
      known != aKnown.end() && known->second.mRequestedAt >= it.mRequestedAt;
    auto notice = it;
    if (!isRead && it.mRequestedAt <= aReadVersion) {
      notice.mWithdrawnAt = std::max(notice.mWithdrawnAt, aReadVersion);
    }
    auto merged = known == aKnown.end() ? EvacuationNotice{} : known->second;
    const auto wasInForce = IsInForce(merged);
    merged.mDomain = it.mDomain;
    merged.mRequestedAt = std::max(merged.mRequestedAt, notice.mRequestedAt);
    merged.mWithdrawnAt = std::max(merged.mWithdrawnAt, notice.mWithdrawnAt);
    out = out || IsInForce(merged) != wasInForce;
    aKnown[it.mDomain] = std::move(merged);
  }
  return out;
}

} // namespace eelgrasspost::dispatch

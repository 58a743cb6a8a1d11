#include "workercontacts.h"

#include <algorithm>
#include <functional>

namespace eelgrasspost::dispatch {

auto NoteContact(WorkerContacts& aContacts,
                 const std::string& aWorker,
                 std::int64_t aIncarnationStartMs,
                 base::BootTime aSentAt,
                 base::BootTime aNow) -> void
{
  auto [it, isNew] = aContacts.try_emplace(aWorker);
  auto& contact = it->second;
  if (isNew || contact.mIncarnationStartMs != aIncarnationStartMs) {
    contact.mIncarnationStartMs = aIncarnationStartMs;
    contact.mIncarnationSeenAt = aNow;
  }
  contact.mSentAt = std::max(contact.mSentAt, aSentAt);
}

auto MajorityRepliedSince(const WorkerContacts& aContacts,
                          const std::vector<std::string>& aMembers,
                          base::BootTime aConfirmedAt) -> base::BootTime
{
  std::vector<base::BootTime> times;
  times.reserve(aMembers.size());
  for (const auto& id : aMembers) {
    const auto it = aContacts.find(id);
    if (it != aContacts.end() &&
        it->second.mIncarnationSeenAt <= aConfirmedAt) {
      times.push_back(it->second.mSentAt);
    }
  }
  constexpr std::size_t kEighths = 8;
  constexpr std::size_t kRequiredEighths = 5;
  const auto required =
    (kRequiredEighths * aMembers.size() + kEighths - 1) / kEighths;
  if (required == 0 || times.size() < required) {
    return {};
  }
  const auto nth = times.begin() + static_cast<std::ptrdiff_t>(required - 1);
  std::nth_element(times.begin(), nth, times.end(), std::greater<>());
  return *nth;
}

auto HasUnconfirmed(const WorkerContacts& aContacts,
                    base::BootTime aConfirmedAt) -> bool
{
  return std::any_of(
    aContacts.begin(), aContacts.end(), [&](const auto& aItem) {
      return aItem.second.mIncarnationSeenAt > aConfirmedAt;
    });
}

auto ExcludesMajority(std::size_t aAccepted, std::size_t aMembers) -> bool
{
  return 2 * aAccepted > aMembers;
}

} // namespace eelgrasspost::dispatch

#include "drainnotices.h"

#include <algorithm>

namespace eelgrasspost::dispatch {

auto ApplyHeard(DrainNotices& aNotices,
                cell::WorkerRecord& aRecord,
                std::uint64_t aVersion) -> void
{
  const auto it = aNotices.mHeard.find(aRecord.mId);
  if (it == aNotices.mHeard.end()) {
    return;
  }
  const auto isOlder =
    aVersion < it->second.mVersion &&
    aRecord.mIncarnationStartMs == it->second.mIncarnationStartMs;
  if (isOlder) {
    aRecord.mState = cell::WorkerState::Draining;
  } else {
    aNotices.mHeard.erase(it);
  }
}

auto NoteDraining(DrainNotices& aNotices,
                  const cell::WorkerRecord& aRecord,
                  std::uint64_t aVersion,
                  MonotonicTime aNow) -> void
{
  aNotices.mRead.emplace_back(
    aNow, DrainNotice{ aRecord.mId, aRecord.mIncarnationStartMs, aVersion });
  if (aNotices.mRead.size() > kMaxKeptDrainNotices) {
    aNotices.mRead.pop_front();
  }
}

auto ForgetWorker(DrainNotices& aNotices, const std::string& aId) -> void
{
  aNotices.mHeard.erase(aId);
  std::erase_if(aNotices.mRead,
                [&](const auto& aItem) { return aItem.second.mWorker == aId; });
}

auto TakeNotices(DrainNotices& aNotices, MonotonicTime aNow)
  -> std::vector<DrainNotice>
{
  auto& read = aNotices.mRead;
  while (!read.empty() && aNow - read.front().first > kDrainNoticeTime) {
    read.pop_front();
  }
  std::vector<DrainNotice> out;
  const auto n = std::min(read.size(), kMaxDrainNotices);
  out.reserve(n);
  for (std::size_t i = 0; i < n; ++i) {
    out.push_back(read[aNotices.mNext++ % read.size()].second);
  }
  return out;
}

auto HearNotice(DrainNotices& aNotices,
                const DrainNotice& aNotice,
                const cell::WorkerRecord& aKnown,
                std::uint64_t aReadVersion) -> bool
{
  if (aNotice.mVersion <= aReadVersion ||
      aNotice.mIncarnationStartMs != aKnown.mIncarnationStartMs) {
    return false;
  }
  auto& heard = aNotices.mHeard[aNotice.mWorker];
  if (heard.mVersion < aNotice.mVersion) {
    heard = aNotice;
  }
  return aKnown.mState == cell::WorkerState::Ready;
}

} // namespace eelgrasspost::dispatch

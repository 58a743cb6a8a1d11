#include "rangepages.h"

namespace eelgrasspost::dispatch {

auto ContinueAfter(RangeQuery& aQuery, const StoreReply& aPage) -> bool
{
  if (!aPage.mHasMore || aPage.mRows.empty()) {
    return false;
  }
  const auto& last = aPage.mRows.back().mKey;
  const auto isRepeated = aPage.mRows.size() == 1 && last == aQuery.mFrom;
  aQuery.mFrom = last;
  if (last.size() < kMaxKeyBytes) {
    aQuery.mFrom += '\x01';
  }
  return !isRepeated;
}

} // namespace eelgrasspost::dispatch

#pragma once

#include "eelgrasspost/dispatch/iplatform.h"

namespace eelgrasspost::dispatch {

/** Lets a query continue after a page of its rows; returns false after the last
 * one. After a row with a key of the longest kind, the next page begins with
 * that row again, as no key of the store lies between it and the next. */
auto ContinueAfter(RangeQuery& aQuery, const StoreReply& aPage) -> bool;

} // namespace eelgrasspost::dispatch

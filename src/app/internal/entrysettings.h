#pragma once

#include <span>
#include <string>
#include <vector>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/base/settings.h"
#include "eelgrasspost/net/address.h"
#include "eelgrasspost/routing/routingtypes.h"

namespace eelgrasspost::app {

/** Validated settings of an entry process. */
struct EntrySettings
{
  std::string mId;
  std::string mRegion;
  std::string mFailureDomain;
  net::Address mHttp;
  net::Address mControl;
  /** Address by which other entries reach this one; mControl's if not set. */
  net::Address mAdvertise;
  std::string mBindIp;
  net::Address mTable;
  net::Address mObjectStore;
  net::Address mVmList;
  std::vector<net::Address> mSeeds;
  std::size_t mThreads = 2;
  routing::ChoicePolicy mChoicePolicy = routing::ChoicePolicy::TwoChoices;
  /** Table operations per second, shared by all entries. */
  std::int64_t mStoreReadsPerSecond = 2000;
  std::int64_t mStoreWritesPerSecond = 400;
  base::Milliseconds mKeyRetention{ 0 };
};

/** All settings of the INI file. A test checks docs/settings.md against them.
 */
auto EntrySettingFields() -> std::span<const base::SettingField>;

auto LoadEntrySettings(const std::string& aPath)
  -> absl::StatusOr<EntrySettings>;

} // namespace eelgrasspost::app

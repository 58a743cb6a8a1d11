#pragma once

#include <span>
#include <string>
#include <vector>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/base/settings.h"
#include "eelgrasspost/net/address.h"
#include "eelgrasspost/routing/routingtypes.h"

namespace eelgrasspost::app {

/** Settings of an entry process, checked and typed. */
struct EntrySettings
{
  std::string mId;
  std::string mRegion;
  std::string mFailureDomain;
  net::Address mHttp;
  net::Address mControl;
  /** Address that other entries use; that of mControl if not set. */
  net::Address mAdvertise;
  std::string mBindIp;
  net::Address mTable;
  net::Address mObjectStore;
  net::Address mVmList;
  std::vector<net::Address> mSeeds;
  std::size_t mThreads = 2;
  routing::ChoicePolicy mChoicePolicy = routing::ChoicePolicy::TwoChoices;
  /** What all entries together may ask of the table in a second. */
  std::int64_t mStoreReads = 2000;
  std::int64_t mStoreWrites = 400;
  base::Milliseconds mKeyRetention{ 0 };
};

/** Every setting of the INI file; docs/settings.md is checked against it. */
auto EntrySettingFields() -> std::span<const base::SettingField>;

auto LoadEntrySettings(const std::string& aPath)
  -> absl::StatusOr<EntrySettings>;

} // namespace eelgrasspost::app

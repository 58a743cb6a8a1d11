#include "dispatchsettings.h"

#include <array>

namespace eelgrasspost::app {

namespace {

using base::SettingField;
using base::SettingKind;

constexpr auto Required(std::string_view aSection,
                        std::string_view aKey,
                        SettingKind aKind,
                        std::string_view aHelp) -> SettingField
{
  return { aSection, aKey, aKind, base::kRequired, 0, 0, aHelp };
}

constexpr auto Number(std::string_view aSection,
                      std::string_view aKey,
                      std::string_view aDefault,
                      std::int64_t aMax,
                      std::string_view aHelp) -> SettingField
{
  return { aSection, aKey, SettingKind::Integer, aDefault, 0, aMax, aHelp };
}

constexpr std::int64_t kDayMs = 86'400'000;
constexpr std::int64_t kMaxCores = 1024;
constexpr std::int64_t kMaxCheckpointS = 3600;
constexpr std::int64_t kMaxPerSecond = 1'000'000;
/** A piece of a job's progress needs this much. */
constexpr std::int64_t kMinRowBytes = 32768;
constexpr std::int64_t kMaxRowBytes = 450'000;

constexpr auto kFields = std::array{
  Required("entry", "name", SettingKind::Text, "name of this entry"),
  Required("entry",
           "failure_domain",
           SettingKind::Text,
           "failure domain of this entry"),
  SettingField{
    "entry",
    "cpu_share",
    SettingKind::Decimal,
    "1",
    0,
    kMaxCores,
    "processor cores that this entry may use; entries with more hold more "
    "cells, and the cells of a new domain are larger" },
  Required("listen", "http", SettingKind::Address, "address for callers"),
  Required("listen",
           "readiness",
           SettingKind::Address,
           "address that the load balancer probes"),
  Required("listen",
           "peers",
           SettingKind::Address,
           "TCP and UDP address for other entries"),
  Required("listen",
           "metrics",
           SettingKind::Address,
           "address that serves the metrics"),
  Required("platform",
           "store",
           SettingKind::Address,
           "address of the platform's store"),
  Number("platform",
         "store_writes_per_s",
         "600",
         kMaxPerSecond,
         "transactions per second that the store accepts from all entries"),
  Number("platform",
         "store_part_writes_per_s",
         "150",
         kMaxPerSecond,
         "transactions per second that one part of the store accepts"),
  SettingField{ "platform",
                "store_row_bytes",
                SettingKind::Integer,
                "65536",
                kMinRowBytes,
                kMaxRowBytes,
                "largest value of a row of the store, in bytes" },
  Number("bounds",
         "lease_ms",
         "6000",
         kDayMs,
         "longest lease that a worker grants"),
  Number("bounds",
         "early_ms",
         "250",
         kDayMs,
         "how early a timed task may start"),
  Number("bounds",
         "harm_ms",
         "4000",
         kDayMs,
         "how long best-effort tasks may keep a serving task over its target"),
  Number("bounds",
         "grace_s",
         "6",
         kDayMs,
         "seconds between the stop signal and the kill"),
  Number("bounds",
         "drain_ms",
         "2000",
         kDayMs,
         "time after which no more tasks start on a draining worker"),
  Number("bounds",
         "capacity_ms",
         "3000",
         kDayMs,
         "time after a heartbeat from which a reduced capacity is kept to"),
  Number("bounds",
         "evacuation_ms",
         "0",
         kDayMs,
         "time within which nothing starts any more in a failure domain whose "
         "evacuation is requested; 0: such requests are not followed"),
  Number("admission",
         "enabled",
         "0",
         1,
         "1: jobs that no cell could do while they are of use are refused at "
         "once"),
  Number(
    "placement",
    "look_ahead",
    "0",
    1,
    "1: room is gathered for large tasks that wait, and small ones fill it "
    "until then"),
  Number("placement",
         "overflow",
         "0",
         1,
         "1: where no cell has room, jobs go, and waiting ones move, to the "
         "cell with the least expected wait"),
  Number("placement",
         "duplicates",
         "0",
         1,
         "1: slow tasks get a second run where their step allows it and room "
         "is free"),
  SettingField{ "placement",
                "checkpoint_s",
                SettingKind::Decimal,
                "0",
                0,
                kMaxCheckpointS,
                "seconds of work between two checkpoints of a task; moves of "
                "best-effort tasks are weighed against it; 0: they are not" },
  Number("placement",
         "restore_ms",
         "0",
         kDayMs,
         "time that a task which resumes from a checkpoint needs before it "
         "works"),
  Number("submission",
         "settle_ms",
         "0",
         kDayMs,
         "time before a caller's deadline at which the outcome of a submission "
         "without a reply is settled in the store; 0: it stays unknown"),
  Number("bounds",
         "status_s",
         "120",
         kDayMs,
         "seconds for which the state of an ended job is kept"),
};

} // namespace

auto DispatchSettingFields() -> std::span<const SettingField>
{
  return kFields;
}

auto LoadDispatchSettings(const std::string& aPath)
  -> absl::StatusOr<dispatch::DispatchSettings>
{
  constexpr std::int64_t kMsPerSecond = 1000;
  const auto values = base::LoadSettings(aPath, kFields);
  if (!values.ok()) {
    return values.status();
  }
  const auto address = [&](std::string_view aSection, std::string_view aKey) {
    return net::ParseAddress(values->Text(aSection, aKey))
      .value_or(net::Address{});
  };
  dispatch::DispatchSettings out;
  out.mName = values->Text("entry", "name");
  out.mDomain = values->Text("entry", "failure_domain");
  out.mCpuShare = values->Decimal("entry", "cpu_share");
  out.mHttp = address("listen", "http");
  out.mReadiness = address("listen", "readiness");
  out.mPeers = address("listen", "peers");
  out.mMetrics = address("listen", "metrics");
  out.mStore = address("platform", "store");
  out.mStoreWritesPerS =
    static_cast<double>(values->Integer("platform", "store_writes_per_s"));
  out.mStorePartitionWritesPerS =
    static_cast<double>(values->Integer("platform", "store_part_writes_per_s"));
  out.mStoreRowBytes = values->Integer("platform", "store_row_bytes");
  out.mLeaseMs = values->Integer("bounds", "lease_ms");
  out.mEarlyMs = values->Integer("bounds", "early_ms");
  out.mHarmMs = values->Integer("bounds", "harm_ms");
  out.mGracePeriodMs = values->Integer("bounds", "grace_s") * kMsPerSecond;
  out.mDrainMs = values->Integer("bounds", "drain_ms");
  out.mCapacityMs = values->Integer("bounds", "capacity_ms");
  out.mEvacuationMs = values->Integer("bounds", "evacuation_ms");
  out.mHasAdmission = values->Integer("admission", "enabled") != 0;
  out.mLooksAhead = values->Integer("placement", "look_ahead") != 0;
  out.mHasOverflow = values->Integer("placement", "overflow") != 0;
  out.mStartsDuplicates = values->Integer("placement", "duplicates") != 0;
  out.mCheckpointMs =
    static_cast<std::int64_t>(values->Decimal("placement", "checkpoint_s") *
                              static_cast<double>(kMsPerSecond));
  out.mRestoreMs = values->Integer("placement", "restore_ms");
  out.mSettleMs = values->Integer("submission", "settle_ms");
  out.mStatusRetentionMs = values->Integer("bounds", "status_s") * kMsPerSecond;
  return out;
}

} // namespace eelgrasspost::app

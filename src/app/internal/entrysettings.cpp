#include "entrysettings.h"

#include <array>

#include "eelgrasspost/base/enumnames.h"
#include "eelgrasspost/base/text.h"

namespace eelgrasspost::app {

namespace {

using base::SettingField;
using base::SettingKind;

constexpr auto kFields = std::array{
  SettingField{ "entry",
                "id",
                SettingKind::Text,
                base::kRequired,
                0,
                0,
                "name of this entry, as in the platform's VM list" },
  SettingField{ "entry",
                "region",
                SettingKind::Text,
                base::kRequired,
                0,
                0,
                "region of this entry" },
  SettingField{ "entry",
                "failure_domain",
                SettingKind::Text,
                base::kRequired,
                0,
                0,
                "failure domain of this entry" },
  SettingField{ "entry",
                "threads",
                SettingKind::Integer,
                "2",
                1,
                64,
                "threads that serve requests" },
  SettingField{
    "listen",
    "http",
    SettingKind::Address,
    "127.0.0.1:0",
    0,
    0,
    "address for callers and operators; port 0 selects a free port" },
  SettingField{
    "listen",
    "control",
    SettingKind::Address,
    "127.0.0.1:0",
    0,
    0,
    "TCP and UDP address for other entries; port 0 selects a free port" },
  SettingField{ "listen",
                "advertise",
                SettingKind::Text,
                "",
                0,
                0,
                "IP:PORT by which other entries reach this one, if it differs "
                "from listen.control" },
  SettingField{ "listen",
                "bind_ip",
                SettingKind::Text,
                "",
                0,
                0,
                "source IP of outgoing connections" },
  SettingField{ "platform",
                "table",
                SettingKind::Address,
                base::kRequired,
                0,
                0,
                "address of the table service" },
  SettingField{ "platform",
                "object_store",
                SettingKind::Address,
                base::kRequired,
                0,
                0,
                "address of the object store" },
  SettingField{ "platform",
                "vm_list",
                SettingKind::Address,
                base::kRequired,
                0,
                0,
                "address of the VM list" },
  SettingField{ "requests",
                "key_retention_s",
                SettingKind::Integer,
                "86400",
                60,
                2592000,
                "seconds for which an idempotency key is kept" },
  SettingField{ "peers",
                "seeds",
                SettingKind::AddressList,
                "",
                0,
                0,
                "control addresses of other entries, for starting without the "
                "platform" },
  SettingField{ "routing",
                "policy",
                SettingKind::Text,
                "p2c",
                0,
                0,
                "choice of worker: p2c; random and least are baselines for "
                "measurements" },
  SettingField{ "store",
                "reads_per_second",
                SettingKind::Integer,
                "2000",
                10,
                1000000,
                "table reads per second, shared by all entries" },
  SettingField{ "store",
                "writes_per_second",
                SettingKind::Integer,
                "400",
                10,
                1000000,
                "table transactions per second, shared by "
                "all entries" },
};

auto AddressOf(const base::SettingValues& aValues,
               std::string_view aSection,
               std::string_view aKey) -> net::Address
{
  const auto text = aValues.Text(aSection, aKey);
  return net::ParseAddress(text).value_or(net::Address{});
}

} // namespace

auto EntrySettingFields() -> std::span<const base::SettingField>
{
  return kFields;
}

auto LoadEntrySettings(const std::string& aPath)
  -> absl::StatusOr<EntrySettings>
{
  const auto values = base::LoadSettings(aPath, kFields);
  if (!values.ok()) {
    return values.status();
  }
  EntrySettings out;
  out.mId = values->Text("entry", "id");
  out.mRegion = values->Text("entry", "region");
  out.mFailureDomain = values->Text("entry", "failure_domain");
  out.mThreads = static_cast<std::size_t>(values->Integer("entry", "threads"));
  out.mHttp = AddressOf(*values, "listen", "http");
  out.mControl = AddressOf(*values, "listen", "control");
  out.mAdvertise = AddressOf(*values, "listen", "advertise");
  out.mBindIp = values->Text("listen", "bind_ip");
  out.mKeyRetention =
    std::chrono::seconds(values->Integer("requests", "key_retention_s"));
  out.mTable = AddressOf(*values, "platform", "table");
  out.mObjectStore = AddressOf(*values, "platform", "object_store");
  out.mVmList = AddressOf(*values, "platform", "vm_list");
  const auto policy = values->Text("routing", "policy");
  const auto choice = base::ValueOf(routing::kChoicePolicyNames, policy);
  if (!choice) {
    return absl::InvalidArgumentError(base::Cat(
      aPath, ": routing.policy = ", policy, "; write p2c, random or least"));
  }
  out.mChoicePolicy = *choice;
  out.mStoreReadsPerSecond = values->Integer("store", "reads_per_second");
  out.mStoreWritesPerSecond = values->Integer("store", "writes_per_second");
  for (const auto& it : values->List("peers", "seeds")) {
    out.mSeeds.push_back(net::ParseAddress(it).value_or(net::Address{}));
  }
  return out;
}

} // namespace eelgrasspost::app

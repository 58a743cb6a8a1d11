#pragma once

#include <memory>
#include <string>

#include <boost/test/unit_test.hpp>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/dispatch/dispatchmodule.h"
#include "holderfixture.h"

namespace eelgrasspost::dispatch::testing {

/** The row of a worker contains its CPU millis and its label. */
class FakeFormats final : public IFormats
{
public:
  auto ConfigurationTable() const -> std::string override { return "settings"; }
  auto ConfigurationKey() const -> std::string override { return "current"; }
  auto DecodeEvacuation(std::string_view aKey) const
    -> std::optional<std::string> override
  {
    constexpr std::string_view kPrefix = "evacuate ";
    return aKey.starts_with(kPrefix)
             ? std::optional(std::string(aKey.substr(kPrefix.size())))
             : std::nullopt;
  }
  auto WorkerTable() const -> std::string override { return "workers"; }
  auto DecodeConfiguration(std::string_view) const
    -> absl::StatusOr<Configuration> override
  {
    return Configuration{};
  }
  auto DecodeWorker(std::string_view aKey, std::string_view aValue) const
    -> absl::StatusOr<cell::WorkerRecord> override
  {
    const auto space = aValue.find(' ');
    cell::WorkerRecord out;
    out.mId = std::string(aKey);
    out.mIncarnationStartMs = 1;
    out.mService = "service";
    out.mDomain = "a";
    out.mCapacity = {
      base::ParseNumber<std::int64_t>(aValue.substr(0, space)).value_or(0),
      64000,
      0
    };
    out.mLabels = { std::string(aValue.substr(space + 1)) };
    return out;
  }
  auto DecodeRequest(const net::HttpRequest&, const Configuration&) const
    -> std::optional<CallerRequest> override
  {
    return std::nullopt;
  }
  auto DecodeJob(std::string_view, std::string_view) const
    -> absl::StatusOr<cell::JobSpec> override
  {
    return absl::UnimplementedError("no jobs are submitted");
  }
  auto EncodeResponse(const CallerResponse&) const -> net::HttpResponse override
  {
    return {};
  }
};

/** Longer than an entry takes to apply a change of the list of workers and to
 * start what it can. */
inline constexpr auto kEntrySettlingTime = Milliseconds(900);
/** Less the timeout of an order, a list counts as current for 700 ms. */
inline constexpr std::int64_t kCapacityMs = 1200;

/** An entry that takes over a cell with one worker and one job. */
struct EntryFixture : PoolFixture
{
  FakeStore mStore;
  FakeWorkers mWorkers;
  FakeFormats mFormats;
  std::unique_ptr<IDispatchEntry> mEntry;
  std::int64_t mLeaseMs = 6000;
  std::int64_t mEvacuationMs = 0;
  /** A new store gets a partition for each 100. */
  double mStoreWritesPerS = 100;

  ~EntryFixture() { StopPool(); }

  auto Write(const std::string& aPartition,
             std::string_view aTable,
             const std::string& aKey,
             std::string aValue) -> void
  {
    StoreTransaction transaction;
    transaction.mPartition = aPartition;
    transaction.mWrites.push_back(
      { { std::string(aTable), aKey }, std::move(aValue) });
    Wait(mStore.Commit(std::move(transaction), {}));
  }

  auto ListWorker(std::int64_t aCpuMillis, const std::string& aLabel = "label")
    -> void
  {
    Write("", "workers", "w1", base::Cat(aCpuMillis, " ", aLabel));
  }

  auto AddJob(std::uint32_t aTasks, const std::string& aLabel = "") -> void
  {
    cell::StepSpec step;
    step.mCount = aTasks;
    step.mNeed = { 8000, 1000, 0 };
    step.mRequiredLabel = aLabel;
    cell::StoredJob job;
    job.mSpec.mId = "0000000000000001";
    job.mSpec.mSteps = { step };
    job.mQueue.mService = "service";
    job.mQueue.mMaxAttempts = 3;
    Write("p0", kJobTable, "a/0/" + job.mSpec.mId, net::Encode(job));
  }

  /** aHolder: the entry that holds the cell according to its row, in its first
   * term and incarnation. */
  auto StartEntry(const std::string& aHolder = "") -> void
  {
    StartEntry(aHolder, aHolder.empty() ? 0 : 1);
  }

  auto StartEntry(const std::string& aHolder, std::uint64_t aTerm) -> void
  {
    Write("", kControlTable, "layout/a", net::Encode(LayoutRow{ "a", 1 }));
    CellRow row;
    row.mName = "a/0";
    row.mDomain = "a";
    row.mHolder = aHolder;
    row.mHolderIncarnation = aHolder.empty() ? 0 : 1;
    row.mTerm = aTerm;
    Write("", kControlTable, "cell/a/0", net::Encode(row));
    const auto address = *net::ParseAddress("127.0.0.1:0");
    DispatchSettings settings;
    settings.mName = "entry";
    settings.mDomain = "a";
    settings.mHttp = address;
    settings.mReadiness = address;
    settings.mPeers = address;
    settings.mMetrics = address;
    settings.mCapacityMs = kCapacityMs;
    settings.mLeaseMs = mLeaseMs;
    settings.mEvacuationMs = mEvacuationMs;
    settings.mStoreWritesPerS = mStoreWritesPerS;
    settings.mStorePartitionWritesPerS = 100;
    mEntry = MakeDispatchEntry(mPool, settings, { mStore, mWorkers, mFormats });
    BOOST_REQUIRE(mEntry->Start().ok());
  }

  auto HasStarted(std::size_t aTasks) -> bool
  {
    return Until([&] { return mWorkers.mStarts.size() >= aTasks; });
  }

  auto CountStarts() -> std::size_t
  {
    std::size_t out = 0;
    Until([&] {
      out = mWorkers.mStarts.size();
      return true;
    });
    return out;
  }

  auto EndTask(std::size_t aIndex) -> void
  {
    Until([&] {
      mWorkers.End(mWorkers.mStarts[aIndex].mTask, cell::EndKind::Done);
      return true;
    });
  }

  auto Set(bool& aFault, bool aValue) -> void
  {
    Until([&] {
      aFault = aValue;
      return true;
    });
  }

  auto Settle() -> void { Wait(net::Sleep(kEntrySettlingTime), true); }
};

} // namespace eelgrasspost::dispatch::testing

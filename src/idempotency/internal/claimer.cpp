#include "claimer.h"

#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/idempotency/idempotencyerrors.h"
#include "eelgrasspost/idempotency/idempotencylogevents.h"
#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::idempotency {

namespace asio = net::asio;

namespace {

constexpr std::string_view kObjectPrefix = "idempotency-answers/";
constexpr auto kPollInterval = base::Milliseconds(25);
constexpr auto kPutBackoff = base::Milliseconds(200);

auto MakeErrorResult(ClaimOutcome aOutcome,
                     const base::ErrorKind& aKind,
                     std::string_view aDetail) -> ClaimResult
{
  ClaimResult out;
  out.mOutcome = aOutcome;
  out.mError = base::MakeError(aKind, aDetail);
  return out;
}

auto MakeUnknownResult(std::string_view aDetail) -> ClaimResult
{
  return MakeErrorResult(ClaimOutcome::Unknown, kFirstOutcomeUnknown, aDetail);
}

auto KeyStateOf(RequestOutcome aOutcome) -> KeyState
{
  switch (aOutcome) {
    case RequestOutcome::Answered:
      return KeyState::Answered;
    case RequestOutcome::NotRun:
      return KeyState::NotRun;
    default:
      return KeyState::Unknown;
  }
}

auto RandomRowKey() -> std::string
{
  auto random = std::random_device();
  return base::Cat(kRowPrefix, fmt::format("{:08x}", random()));
}

} // namespace

Claimer::Claimer(IdempotencyDependencies aDependencies,
                 IdempotencyOptions aOptions)
  : mDependencies(std::move(aDependencies))
  , mOptions(aOptions)
  , mCounters{ mDependencies.mMetrics.FindCounter("idempotency_claims_total"),
               mDependencies.mMetrics.FindCounter("idempotency_recorded_total"),
               mDependencies.mMetrics.FindCounter("idempotency_unknown_total"),
               mDependencies.mMetrics.FindCounter("idempotency_refused_total"),
               mDependencies.mMetrics.FindCounter(
                 "idempotency_record_failures_total") }
  , mWriter(mDependencies, mOptions)
{
}

auto Claimer::NewToken() -> std::string
{
  return base::Cat(mDependencies.mTokenPrefix, "-", ++mTokenCount);
}

auto Claimer::WriteResolved(platform::TableWrite aWrite,
                            base::MonotonicTime aDeadline)
  -> net::Task<ResolvedWrite>
{
  return WriteUntilResolved(mWriter,
                            mDependencies.mTable,
                            std::move(aWrite),
                            mOptions.mCallTimeout,
                            aDeadline);
}

auto Claimer::ReadRow(std::string aRow, base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<std::optional<platform::TableRow>>>
{
  const auto limit = base::MonotonicClock::now() + mOptions.mCallTimeout;
  return mDependencies.mTable.Read(platform::TableUse::IdempotencyKey,
                                   std::move(aRow),
                                   std::min(aDeadline, limit));
}

auto Claimer::Claim(ClaimRequest aRequest) -> net::Task<ClaimResult>
{
  co_return co_await asio::co_spawn(mDependencies.mExecutor,
                                    ClaimOnExecutor(std::move(aRequest)),
                                    asio::use_awaitable);
}

auto Claimer::ClaimOnExecutor(ClaimRequest aRequest) -> net::Task<ClaimResult>
{
  auto result = co_await TryToClaim(std::move(aRequest));
  switch (result.mOutcome) {
    case ClaimOutcome::Claimed:
      mCounters.mClaims.Add();
      break;
    case ClaimOutcome::Recorded:
      mCounters.mRecorded.Add();
      break;
    case ClaimOutcome::Unknown:
      mCounters.mUnknown.Add();
      break;
    default:
      mCounters.mRefused.Add();
  }
  co_return result;
}

auto Claimer::TryToClaim(ClaimRequest aRequest) -> net::Task<ClaimResult>
{
  KeyRecord record;
  record.mToken = NewToken();
  record.mDigest = aRequest.mDigest;
  record.mClaimedMs = base::WallClockMs();
  auto write = platform::TableWrite{ RowKeyOf(aRequest.mService, aRequest.mKey),
                                     EncodeRecord(record),
                                     platform::kAbsent };
  while (true) {
    const auto limit = base::MonotonicClock::now() + mOptions.mClaimTimeout;
    auto resolved =
      co_await WriteResolved(write, std::min(limit, aRequest.mDeadline));
    if (resolved.mResolution == WriteResolution::Written) {
      const auto version = *write.mExpectedVersion + 1;
      co_return ClaimResult{
        ClaimOutcome::Claimed,
        { write.mKey, record.mToken, record.mDigest, version },
        {},
        {}
      };
    }
    if (resolved.mResolution != WriteResolution::Conflict) {
      if (resolved.mResolution == WriteResolution::Unresolved) {
        net::SpawnTask(mDependencies.mExecutor,
                       ReleaseUnresolvedClaim(write, record));
      }
      co_return MakeErrorResult(
        ClaimOutcome::Refused,
        kKeyNotClaimed,
        "the table did not confirm the idempotency key in time");
    }
    if (resolved.mRow) {
      auto existing = co_await EvaluateExisting(aRequest, *resolved.mRow);
      if (existing) {
        co_return *std::move(existing);
      }
    }
    write.mExpectedVersion =
      resolved.mRow ? resolved.mRow->mVersion : platform::kAbsent;
  }
}

auto Claimer::EvaluateExisting(ClaimRequest aRequest, platform::TableRow& aRow)
  -> net::Task<std::optional<ClaimResult>>
{
  const auto limit = base::MonotonicClock::now() + mOptions.mFirstRequestWait;
  const auto until = std::min(limit, aRequest.mDeadline);
  while (true) {
    const auto record = DecodeRecord(aRow.mValue);
    if (!record.ok()) {
      base::Log(kMalformedRecord, aRow.mKey);
      co_return MakeUnknownResult(
        "the row of the idempotency key is malformed");
    }
    switch (ChooseClaimAction(*record, aRequest.mDigest)) {
      case ClaimAction::ClaimAgain:
        co_return std::nullopt;
      case ClaimAction::ReplayRecorded:
        co_return co_await ReplayRecorded(*record, aRequest.mDeadline);
      case ClaimAction::ReportReused:
        co_return MakeErrorResult(
          ClaimOutcome::OtherRequest,
          kKeyReused,
          "the Idempotency-Key was used for a different request");
      case ClaimAction::ReportUnknown:
        co_return MakeUnknownResult(
          "the first request under this key may have run");
      case ClaimAction::WaitForFirst:
        break;
    }
    if (base::MonotonicClock::now() + kPollInterval >= until) {
      co_return MakeUnknownResult(
        "the first request under this key has not ended");
    }
    co_await net::Sleep(kPollInterval);
    const auto read = co_await ReadRow(aRow.mKey, until);
    if (read.ok() && *read) {
      aRow = **read;
    } else if (read.ok()) {
      // The row expired; claim the key as an absent row.
      aRow.mVersion = platform::kAbsent;
      co_return std::nullopt;
    }
  }
}

auto Claimer::ReplayRecorded(KeyRecord aRecord, base::MonotonicTime aDeadline)
  -> net::Task<ClaimResult>
{
  auto text = std::move(aRecord.mResponse);
  if (!aRecord.mObject.empty()) {
    const auto object =
      co_await mDependencies.mObjects.Get(aRecord.mObject, aDeadline);
    if (!object.ok() || !*object) {
      co_return MakeUnknownResult(
        "the first request was answered, but its response cannot be read now");
    }
    text = **object;
  }
  auto response = DecodeResponse(text);
  if (!response.ok()) {
    co_return MakeUnknownResult("the recorded response is malformed");
  }
  co_return ClaimResult{ ClaimOutcome::Recorded, {}, *std::move(response), {} };
}

auto Claimer::ReleaseUnresolvedClaim(platform::TableWrite aClaim,
                                     KeyRecord aRecord) -> net::Task<void>
{
  ++mPendingRecords;
  const auto deadline = base::MonotonicClock::now() + mOptions.mRecordTimeout;
  aRecord.mState = KeyState::NotRun;
  // Using up the expected version prevents a delayed claim from being applied.
  auto release = aClaim;
  release.mValue = EncodeRecord(aRecord);
  const auto resolved = co_await WriteResolved(release, deadline);
  const auto isClaimed = resolved.mResolution == WriteResolution::Conflict &&
                         resolved.mRow &&
                         resolved.mRow->mValue == aClaim.mValue;
  if (isClaimed) {
    release.mExpectedVersion = resolved.mRow->mVersion;
    co_await WriteResolved(release, deadline);
  } else if (resolved.mResolution == WriteResolution::Unresolved ||
             resolved.mResolution == WriteResolution::NotSent) {
    mCounters.mRecordFailures.Add();
    base::Log(kRecordFailed, aClaim.mKey);
  }
  --mPendingRecords;
}

auto Claimer::Finish(ClaimHandle aHandle,
                     RequestOutcome aOutcome,
                     net::HttpResponse aResponse) -> void
{
  ++mPendingRecords;
  net::SpawnTask(mDependencies.mExecutor,
                 Record(std::move(aHandle), aOutcome, std::move(aResponse)));
}

auto Claimer::Record(ClaimHandle aHandle,
                     RequestOutcome aOutcome,
                     net::HttpResponse aResponse) -> net::Task<void>
{
  const auto deadline = base::MonotonicClock::now() + mOptions.mRecordTimeout;
  KeyRecord record;
  record.mState = KeyStateOf(aOutcome);
  record.mToken = aHandle.mToken;
  record.mDigest = aHandle.mDigest;
  record.mClaimedMs = base::WallClockMs();
  auto isReady = true;
  if (aOutcome == RequestOutcome::Answered) {
    record.mResponse = EncodeResponse(aResponse);
    if (record.mResponse.size() > mOptions.mMaxInlineBytes) {
      record.mObject = base::Cat(kObjectPrefix, aHandle.mToken);
      isReady = co_await PutResponse(
        record.mObject, std::exchange(record.mResponse, {}), deadline);
    }
  }
  auto isWritten = false;
  if (isReady) {
    auto write = platform::TableWrite{ aHandle.mRow,
                                       EncodeRecord(record),
                                       aHandle.mVersion };
    const auto resolved = co_await WriteResolved(std::move(write), deadline);
    isWritten = resolved.mResolution == WriteResolution::Written;
  }
  if (!isWritten) {
    mCounters.mRecordFailures.Add();
    base::Log(kRecordFailed, aHandle.mRow);
  }
  --mPendingRecords;
}

auto Claimer::PutResponse(std::string aObject,
                          std::string aResponse,
                          base::MonotonicTime aDeadline) -> net::Task<bool>
{
  while (base::MonotonicClock::now() < aDeadline) {
    const auto limit = base::MonotonicClock::now() + mOptions.mCallTimeout;
    const auto status =
      co_await mDependencies.mObjects.Put(aObject, aResponse, limit);
    if (status.ok()) {
      co_return true;
    }
    co_await net::Sleep(kPutBackoff);
  }
  co_return false;
}

auto Claimer::Run() -> net::Task<void>
{
  // Each entry starts at a random row, so that their sweeps rarely conflict.
  auto after = RandomRowKey();
  while (true) {
    co_await net::Sleep(mOptions.mSweepInterval);
    after = co_await Sweep(std::move(after));
  }
}

auto Claimer::Sweep(std::string aAfter) -> net::Task<std::string>
{
  const auto use = platform::TableUse::IdempotencyKey;
  const auto deadline = base::MonotonicClock::now() + mOptions.mCallTimeout;
  const auto rows = co_await mDependencies.mTable.Scan(
    use, std::string(kRowPrefix), aAfter, mOptions.mSweepRowLimit, deadline);
  if (!rows.ok()) {
    co_return aAfter;
  }
  std::vector<platform::TableWrite> deletes;
  for (const auto& it : *rows) {
    const auto record = DecodeRecord(it.mValue);
    if (record.ok() &&
        IsExpired(*record, base::WallClockMs(), mOptions.mRetention)) {
      deletes.push_back({ it.mKey, std::nullopt, it.mVersion });
    }
  }
  if (!deletes.empty()) {
    const auto status =
      co_await mDependencies.mTable.Commit(use, std::move(deletes), deadline);
    if (!status.ok()) {
      base::Log(kSweepFailed, base::MessageOf(status));
    }
  }
  const auto isLast = rows->size() < mOptions.mSweepRowLimit;
  co_return isLast ? std::string() : rows->back().mKey;
}

} // namespace eelgrasspost::idempotency

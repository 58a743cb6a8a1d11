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

auto Say(ClaimVerdict aVerdict,
         const base::ErrorKind& aKind,
         std::string_view aDetail) -> ClaimResult
{
  ClaimResult out;
  out.mVerdict = aVerdict;
  out.mError = base::MakeError(aKind, aDetail);
  return out;
}

auto SayUnknown(std::string_view aDetail) -> ClaimResult
{
  return Say(ClaimVerdict::Unknown, kFirstUnknown, aDetail);
}

auto StateOf(RunEnd aEnd) -> KeyState
{
  switch (aEnd) {
    case RunEnd::Answered:
      return KeyState::Answered;
    case RunEnd::NotRun:
      return KeyState::NotRun;
    default:
      return KeyState::Unknown;
  }
}

auto RandomRow() -> std::string
{
  auto random = std::random_device();
  return base::Cat(kRowPrefix, fmt::format("{:08x}", random()));
}

} // namespace

Claimer::Claimer(IdempotencyParts aParts, IdempotencyOptions aOptions)
  : mParts(std::move(aParts))
  , mOptions(aOptions)
  , mCounters{ mParts.mMetrics.FindCounter("idempotency_claims_total"),
               mParts.mMetrics.FindCounter("idempotency_recorded_total"),
               mParts.mMetrics.FindCounter("idempotency_unknown_total"),
               mParts.mMetrics.FindCounter("idempotency_refused_total"),
               mParts.mMetrics.FindCounter(
                 "idempotency_record_failures_total") }
  , mWriter(mParts, mOptions)
{
}

auto Claimer::NewToken() -> std::string
{
  return base::Cat(mParts.mTokenPrefix, "-", ++mTokens);
}

auto Claimer::Settle(platform::TableWrite aWrite, base::MonotonicTime aDeadline)
  -> net::Task<Settled>
{
  return WriteSettled(mWriter,
                      mParts.mTable,
                      std::move(aWrite),
                      mOptions.mCallTimeout,
                      aDeadline);
}

auto Claimer::ReadRow(std::string aRow, base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<std::optional<platform::TableRow>>>
{
  const auto limit = base::MonotonicClock::now() + mOptions.mCallTimeout;
  return mParts.mTable.Read(platform::TableUse::IdempotencyKey,
                            std::move(aRow),
                            std::min(aDeadline, limit));
}

auto Claimer::Claim(KeyClaim aClaim) -> net::Task<ClaimResult>
{
  co_return co_await asio::co_spawn(
    mParts.mHome, ClaimAtHome(std::move(aClaim)), asio::use_awaitable);
}

auto Claimer::ClaimAtHome(KeyClaim aClaim) -> net::Task<ClaimResult>
{
  auto result = co_await TryToClaim(std::move(aClaim));
  switch (result.mVerdict) {
    case ClaimVerdict::Claimed:
      mCounters.mClaims.Add();
      break;
    case ClaimVerdict::Recorded:
      mCounters.mRecorded.Add();
      break;
    case ClaimVerdict::Unknown:
      mCounters.mUnknown.Add();
      break;
    default:
      mCounters.mRefused.Add();
  }
  co_return result;
}

auto Claimer::TryToClaim(KeyClaim aClaim) -> net::Task<ClaimResult>
{
  KeyRecord record;
  record.mToken = NewToken();
  record.mDigest = aClaim.mDigest;
  record.mClaimedMs = base::WallClockMs();
  auto write = platform::TableWrite{ RowOf(aClaim.mService, aClaim.mKey),
                                     EncodeRecord(record),
                                     platform::kAbsent };
  while (true) {
    const auto limit = base::MonotonicClock::now() + mOptions.mClaimTimeout;
    auto settled = co_await Settle(write, std::min(limit, aClaim.mDeadline));
    if (settled.mEnd == SettledEnd::Written) {
      const auto version = *write.mExpectedVersion + 1;
      co_return ClaimResult{
        ClaimVerdict::Claimed,
        { write.mKey, record.mToken, record.mDigest, version },
        {},
        {}
      };
    }
    if (settled.mEnd != SettledEnd::Conflict) {
      if (settled.mEnd == SettledEnd::Unsettled) {
        net::SpawnTask(mParts.mHome, ReleaseLater(write, record));
      }
      co_return Say(ClaimVerdict::Refused,
                    kKeyNotClaimed,
                    "the table did not confirm the idempotency key in time");
    }
    if (settled.mRow) {
      auto existing = co_await JudgeExisting(aClaim, *settled.mRow);
      if (existing) {
        co_return *std::move(existing);
      }
    }
    write.mExpectedVersion =
      settled.mRow ? settled.mRow->mVersion : platform::kAbsent;
  }
}

auto Claimer::JudgeExisting(KeyClaim aClaim, platform::TableRow& aRow)
  -> net::Task<std::optional<ClaimResult>>
{
  const auto limit = base::MonotonicClock::now() + mOptions.mWaitForFirst;
  const auto until = std::min(limit, aClaim.mDeadline);
  while (true) {
    const auto record = DecodeRecord(aRow.mValue);
    if (!record.ok()) {
      base::Log(kBadRecord, aRow.mKey);
      co_return SayUnknown("the row of the idempotency key cannot be read");
    }
    switch (DecideClaim(*record, aClaim.mDigest)) {
      case ClaimStep::ClaimAnew:
        co_return std::nullopt;
      case ClaimStep::GiveRecorded:
        co_return co_await GiveRecorded(*record, aClaim.mDeadline);
      case ClaimStep::SayReused:
        co_return Say(ClaimVerdict::OtherRequest,
                      kKeyReused,
                      "the Idempotency-Key was used with another request");
      case ClaimStep::SayUnknown:
        co_return SayUnknown("the first request under this key may have run");
      case ClaimStep::WaitForFirst:
        break;
    }
    if (base::MonotonicClock::now() + kPollInterval >= until) {
      co_return SayUnknown("the first request under this key has not ended");
    }
    co_await net::Sleep(kPollInterval);
    const auto read = co_await ReadRow(aRow.mKey, until);
    if (read.ok() && *read) {
      aRow = **read;
    } else if (read.ok()) {
      // The row expired; the claim goes on from an absent row.
      aRow.mVersion = platform::kAbsent;
      co_return std::nullopt;
    }
  }
}

auto Claimer::GiveRecorded(KeyRecord aRecord, base::MonotonicTime aDeadline)
  -> net::Task<ClaimResult>
{
  auto text = std::move(aRecord.mAnswer);
  if (!aRecord.mObject.empty()) {
    const auto object =
      co_await mParts.mObjects.Get(aRecord.mObject, aDeadline);
    if (!object.ok() || !*object) {
      co_return SayUnknown(
        "the first request was answered, but its answer cannot be read now");
    }
    text = **object;
  }
  auto answer = DecodeAnswer(text);
  if (!answer.ok()) {
    co_return SayUnknown("the recorded answer cannot be read");
  }
  co_return ClaimResult{ ClaimVerdict::Recorded, {}, *std::move(answer), {} };
}

auto Claimer::ReleaseLater(platform::TableWrite aClaim, KeyRecord aRecord)
  -> net::Task<void>
{
  ++mRecording;
  const auto deadline = base::MonotonicClock::now() + mOptions.mRecordTimeout;
  aRecord.mState = KeyState::NotRun;
  // Taking the expected version keeps a delayed claim from being written.
  auto release = aClaim;
  release.mValue = EncodeRecord(aRecord);
  const auto settled = co_await Settle(release, deadline);
  const auto isClaimed = settled.mEnd == SettledEnd::Conflict && settled.mRow &&
                         settled.mRow->mValue == aClaim.mValue;
  if (isClaimed) {
    release.mExpectedVersion = settled.mRow->mVersion;
    co_await Settle(release, deadline);
  } else if (settled.mEnd == SettledEnd::Unsettled ||
             settled.mEnd == SettledEnd::NotSent) {
    mCounters.mRecordFailures.Add();
    base::Log(kRecordFailed, aClaim.mKey);
  }
  --mRecording;
}

auto Claimer::Finish(ClaimTicket aTicket,
                     RunEnd aEnd,
                     net::HttpResponse aAnswer) -> void
{
  ++mRecording;
  net::SpawnTask(mParts.mHome,
                 Record(std::move(aTicket), aEnd, std::move(aAnswer)));
}

auto Claimer::Record(ClaimTicket aTicket,
                     RunEnd aEnd,
                     net::HttpResponse aAnswer) -> net::Task<void>
{
  const auto deadline = base::MonotonicClock::now() + mOptions.mRecordTimeout;
  KeyRecord record;
  record.mState = StateOf(aEnd);
  record.mToken = aTicket.mToken;
  record.mDigest = aTicket.mDigest;
  record.mClaimedMs = base::WallClockMs();
  auto isReady = true;
  if (aEnd == RunEnd::Answered) {
    record.mAnswer = EncodeAnswer(aAnswer);
    if (record.mAnswer.size() > mOptions.mInlineAnswer) {
      record.mObject = base::Cat(kObjectPrefix, aTicket.mToken);
      isReady = co_await PutAnswer(
        record.mObject, std::exchange(record.mAnswer, {}), deadline);
    }
  }
  auto isWritten = false;
  if (isReady) {
    auto write = platform::TableWrite{ aTicket.mRow,
                                       EncodeRecord(record),
                                       aTicket.mVersion };
    const auto settled = co_await Settle(std::move(write), deadline);
    isWritten = settled.mEnd == SettledEnd::Written;
  }
  if (!isWritten) {
    mCounters.mRecordFailures.Add();
    base::Log(kRecordFailed, aTicket.mRow);
  }
  --mRecording;
}

auto Claimer::PutAnswer(std::string aObject,
                        std::string aAnswer,
                        base::MonotonicTime aDeadline) -> net::Task<bool>
{
  while (base::MonotonicClock::now() < aDeadline) {
    const auto limit = base::MonotonicClock::now() + mOptions.mCallTimeout;
    const auto status = co_await mParts.mObjects.Put(aObject, aAnswer, limit);
    if (status.ok()) {
      co_return true;
    }
    co_await net::Sleep(kPutBackoff);
  }
  co_return false;
}

auto Claimer::Run() -> net::Task<void>
{
  // Entries begin at rows of their own, so that they seldom meet.
  auto after = RandomRow();
  while (true) {
    co_await net::Sleep(mOptions.mSweepInterval);
    after = co_await Sweep(std::move(after));
  }
}

auto Claimer::Sweep(std::string aAfter) -> net::Task<std::string>
{
  const auto use = platform::TableUse::IdempotencyKey;
  const auto deadline = base::MonotonicClock::now() + mOptions.mCallTimeout;
  const auto rows = co_await mParts.mTable.Scan(
    use, std::string(kRowPrefix), aAfter, mOptions.mSweepRows, deadline);
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
      co_await mParts.mTable.Commit(use, std::move(deletes), deadline);
    if (!status.ok()) {
      base::Log(kSweepFailed, base::MessageOf(status));
    }
  }
  const auto isLast = rows->size() < mOptions.mSweepRows;
  co_return isLast ? std::string() : rows->back().mKey;
}

} // namespace eelgrasspost::idempotency

#include "audittrail.h"

#include "eelgrasspost/audit/auditrecord.h"

namespace eelgrasspost::audit {

using platform::TableUse;

namespace {

constexpr std::size_t kRowsPerScan = 200;
constexpr std::size_t kRowsPerDelete = 100;

} // namespace

AuditTrail::AuditTrail(platform::ITable& aTable, AuditRetention aRetention)
  : mTable(aTable)
  , mRetention(aRetention)
{
}

auto AuditTrail::Read(AuditFilter aFilter, base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<std::vector<AuditRecord>>>
{
  std::vector<AuditRecord> out;
  auto after = LowestAuditKeyAt(aFilter.mSinceMs);
  while (out.size() < aFilter.mLimit) {
    const auto rows = co_await mTable.Scan(TableUse::Audit,
                                           std::string(kAuditKeyPrefix),
                                           after,
                                           kRowsPerScan,
                                           aDeadline);
    if (!rows.ok()) {
      co_return rows.status();
    }
    for (const auto& it : *rows) {
      auto record = DecodeAudit(it.mValue);
      if (!record.ok()) {
        co_return record.status();
      }
      if (Matches(aFilter, *record) && out.size() < aFilter.mLimit) {
        out.push_back(*std::move(record));
      }
    }
    if (rows->size() < kRowsPerScan) {
      break;
    }
    after = rows->back().mKey;
  }
  co_return out;
}

auto AuditTrail::DeleteExpired(std::int64_t aNowMs,
                               base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<std::size_t>>
{
  const auto rows = co_await mTable.Scan(TableUse::Audit,
                                         std::string(kAuditKeyPrefix),
                                         "",
                                         kRowsPerDelete,
                                         aDeadline);
  if (!rows.ok()) {
    co_return rows.status();
  }
  const auto oldestKept = LowestAuditKeyAt(aNowMs - mRetention.mMaxAgeMs);
  std::vector<platform::TableWrite> writes;
  for (const auto& it : *rows) {
    if (it.mKey < oldestKept) {
      writes.push_back({ it.mKey, std::nullopt, std::nullopt });
    }
  }
  const auto count = writes.size();
  if (count == 0) {
    co_return count;
  }
  const auto status =
    co_await mTable.Commit(TableUse::Audit, std::move(writes), aDeadline);
  if (!status.ok()) {
    co_return status;
  }
  co_return count;
}

} // namespace eelgrasspost::audit

#define BOOST_TEST_MODULE audit
#include <boost/test/unit_test.hpp>

#include "eelgrasspost/audit/auditrecord.h"

namespace {

using namespace eelgrasspost::audit;

struct RecordFixture
{
  AuditRecord mRecord{ AuditObjectKind::Job, "ana",     "cancel",   "job-7",
                       1700000000123,        "running", "cancelled" };
};

struct FilterCase
{
  AuditFilter mFilter;
  bool mExpected;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(audit, RecordFixture)

BOOST_AUTO_TEST_CASE(record_encoded_and_decoded_is_equal)
{
  const auto decoded = DecodeAudit(EncodeAudit(mRecord));
  BOOST_TEST_REQUIRE(decoded.ok());
  BOOST_TEST((*decoded == mRecord));
}

BOOST_AUTO_TEST_CASE(keys_of_later_records_sort_later)
{
  auto later = mRecord;
  later.mTimestampMs += 1;
  BOOST_TEST(AuditKey(mRecord, "z") < AuditKey(later, "a"));
  BOOST_TEST(LowestAuditKeyAt(mRecord.mTimestampMs) < AuditKey(mRecord, ""));
  BOOST_TEST(LowestAuditKeyAt(9) < LowestAuditKeyAt(10));
}

BOOST_AUTO_TEST_CASE(write_of_a_record_expects_no_existing_row)
{
  const auto write = AuditWrite(mRecord, "job-7/3");
  BOOST_TEST(write.mKey == "audit/001700000000123/job/job-7/3");
  BOOST_TEST((write.mExpectedVersion == eelgrasspost::platform::kAbsent));
}

BOOST_AUTO_TEST_CASE(filter_by_time_actor_and_object_accepts_only_matches)
{
  const auto cases = {
    FilterCase{ {}, true },
    FilterCase{ { mRecord.mTimestampMs, "ana", "job-7", 1 }, true },
    FilterCase{ { 0, "", "job/job-7", 1 }, true },
    FilterCase{ { mRecord.mTimestampMs + 1, "", "", 1 }, false },
    FilterCase{ { 0, "ben", "", 1 }, false },
    FilterCase{ { 0, "", "job-8", 1 }, false },
  };
  for (const auto& it : cases) {
    BOOST_TEST(Matches(it.mFilter, mRecord) == it.mExpected);
  }
}

BOOST_AUTO_TEST_CASE(record_with_unknown_kind_is_rejected)
{
  BOOST_TEST(!DecodeAudit(R"({"sort": "weather"})").ok());
}

BOOST_AUTO_TEST_SUITE_END()

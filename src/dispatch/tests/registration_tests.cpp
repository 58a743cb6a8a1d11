#include <boost/test/unit_test.hpp>

#include "eelgrasspost/net/datagram.h"
#include "entryfixture.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::EntryFixture;
using dispatch::testing::FakeFault;

constexpr std::uint64_t kHourMs = 3'600'000;

/** An entry whose former process started by a clock that was an hour ahead, and
 * a peer of it that receives its heartbeats. */
struct EarlyClock : EntryFixture
{
  const std::uint64_t mFormer =
    static_cast<std::uint64_t>(base::WallClockMs()) + kHourMs;
  net::DatagramSocket mPeer{ mPool };
  /** Used on the pool's thread. */
  std::vector<std::uint64_t> mHeard;

  EarlyClock()
  {
    ListWorker(16000);
    WriteEntry("entry", mFormer, *net::ParseAddress("127.0.0.1:1"));
  }

  ~EarlyClock() { StopPool(); }

  auto WriteEntry(const std::string& aName,
                  std::uint64_t aIncarnation,
                  const net::Address& aAddress) -> void
  {
    Write("",
          kControlTable,
          "entry/" + aName,
          net::Encode(EntryRow{ aName, aIncarnation, "a", aAddress, 0.01 }));
  }

  auto AddPeer() -> void
  {
    const auto address =
      mPeer
        .Bind(*net::ParseAddress("127.0.0.1:0"),
              [this](std::string_view aBytes) {
                if (auto it = net::Decode<Heartbeat>(aBytes); it.ok()) {
                  mHeard.push_back(it->mIncarnation);
                }
              })
        .value();
    WriteEntry("peer", 1, address);
  }

  /** Faults of the first writes of the entry. */
  auto FailCommitsOfEntry(std::deque<FakeFault> aFaults) -> void
  {
    // StartEntry writes two rows before, and the entry the partitions.
    aFaults.insert(aFaults.begin(), 3, FakeFault::None);
    mStore.mFaults = std::move(aFaults);
  }

  /** On the pool's thread. */
  auto RowIncarnation() -> std::uint64_t
  {
    const auto* row =
      mStore.Find(std::string(kControlTable), "", "entry/entry");
    const auto entry =
      row ? net::Decode<EntryRow>(row->mValue) : absl::NotFoundError("no row");
    return entry.ok() ? entry->mIncarnation : 0;
  }

  /** On the pool's thread. */
  auto HoldsCell() -> bool
  {
    const auto* row = mStore.Find(std::string(kControlTable), "", "cell/a/0");
    const auto cell =
      row ? net::Decode<CellRow>(row->mValue) : absl::NotFoundError("no row");
    return cell.ok() && cell->mHolder == "entry" &&
           cell->mHolderIncarnation == RowIncarnation();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(entry_started_with_an_earlier_clock, EarlyClock)

// Guards against LOST: peers ignored the entry for good, as its incarnation was
// lower than that of its former process, and cells changed hands several times
// a second.
BOOST_AUTO_TEST_CASE(store_is_up_incarnation_is_higher_than_the_former)
{
  AddPeer();
  StartEntry();
  BOOST_TEST(Until([&] { return RowIncarnation() > mFormer; }));
  BOOST_TEST(Until([&] { return HoldsCell(); }));
  BOOST_TEST(Until(
    [&] { return !mHeard.empty() && mHeard.back() == RowIncarnation(); }));
}

// Guards against a lower incarnation after a write whose reply was lost.
BOOST_AUTO_TEST_CASE(reply_is_lost_incarnation_is_higher_than_the_former)
{
  FailCommitsOfEntry({ FakeFault::LoseReply, FakeFault::ApplyLate });
  StartEntry();
  BOOST_TEST(Until([&] { return HoldsCell(); }));
  Until([&] {
    mStore.ApplyLateCalls();
    return true;
  });
  Settle();
  BOOST_TEST(Until([&] { return HoldsCell(); }));
  BOOST_TEST(Until([&] { return RowIncarnation() > mFormer; }));
}

// Guards against an entry that is not heard while it cannot register, or by an
// incarnation that it has not registered.
BOOST_AUTO_TEST_CASE(store_refuses_its_row_heartbeats_name_no_incarnation)
{
  AddPeer();
  FailCommitsOfEntry(std::deque<FakeFault>(5, FakeFault::Refuse));
  StartEntry();
  BOOST_TEST(Until([&] { return mHeard.size() >= 2; }));
  Until([&] {
    BOOST_TEST(mHeard == std::vector<std::uint64_t>(mHeard.size(), 0));
    return true;
  });
  BOOST_TEST(Until([&] { return HoldsCell(); }));
}

// Guards against a row of another writer in place of the entry's, by which the
// next process would take a lower incarnation.
BOOST_AUTO_TEST_CASE(row_is_overwritten_it_is_written_again)
{
  StartEntry();
  BOOST_TEST(Until([&] { return HoldsCell(); }));
  std::uint64_t before = 0;
  Until([&] {
    before = RowIncarnation();
    return true;
  });
  Write("", kControlTable, "entry/entry", "not a row");
  BOOST_TEST(Until([&] { return RowIncarnation() == before; }));
  WriteEntry("entry", 1, *net::ParseAddress("127.0.0.1:1"));
  BOOST_TEST(Until([&] { return RowIncarnation() == before; }));
  BOOST_TEST(Until([&] { return HoldsCell(); }));
}

// Guards against a lower incarnation where the row of the former process was
// lost: its claims show it as well.
BOOST_AUTO_TEST_CASE(row_is_lost_incarnation_is_higher_than_that_of_its_claims)
{
  Write("", kControlTable, "entry/entry", "not a row");
  CellRow cell;
  cell.mName = "b/0";
  cell.mDomain = "b";
  cell.mHolder = "entry";
  cell.mHolderIncarnation = mFormer;
  Write("", kControlTable, "cell/b/0", net::Encode(cell));
  StartEntry();
  BOOST_TEST(Until([&] { return RowIncarnation() > mFormer; }));
}

BOOST_AUTO_TEST_SUITE_END()

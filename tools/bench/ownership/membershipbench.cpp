// Measures the traffic and CPU time of cluster membership per entry at several
// numbers of entries. All members run in one process and pass datagrams in
// memory.
#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <thread>

#include <sys/resource.h>

#include <boost/asio/post.hpp>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/membership/membershipmodule.h"
#include "eelgrasspost/net/iopool.h"

namespace {

using namespace eelgrasspost;

constexpr int kDomains = 3;
constexpr int kSeconds = 4;

struct Traffic
{
  std::uint64_t mBytes = 0;
  std::uint64_t mDatagrams = 0;
};

auto CpuSeconds() -> double
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) +
           static_cast<double>(aTime.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

auto Measure(int aEntries) -> void
{
  net::IoPool pool(1);
  Traffic traffic;
  std::map<net::Address, std::unique_ptr<membership::IMembership>> members;
  const auto send = [&](const net::Address& aTo, std::string_view aBytes) {
    traffic.mBytes += aBytes.size();
    ++traffic.mDatagrams;
    net::asio::post(pool.Executor(0), [&, aTo, bytes = std::string(aBytes)] {
      members.at(aTo)->Receive(bytes);
    });
  };
  std::vector<net::Address> seeds;
  for (int i = 0; i < aEntries; ++i) {
    membership::MemberIdentity self;
    self.mId = base::Cat("entry-vm-", i);
    self.mIncarnation = 1796368494751;
    self.mRegion = "guatemala";
    self.mFailureDomain = base::Cat("domain-", i % kDomains);
    self.mControl = { base::Cat("10.0.0.", i), 7000 };
    seeds.push_back(self.mControl);
    members[self.mControl] = membership::MakeMembership(self, {}, send);
  }
  for (const auto& [address, member] : members) {
    member->AddSeeds(seeds);
    pool.Spawn(pool.Executor(0), member->Run());
  }
  const auto before = CpuSeconds();
  pool.Start();
  std::this_thread::sleep_for(std::chrono::seconds(kSeconds));
  pool.Stop();
  const auto cpuSeconds = CpuSeconds() - before;
  const auto entrySeconds = static_cast<double>(aEntries) * kSeconds;
  const auto view = members.begin()->second->View();
  const auto alive = std::ranges::count(view->mMembers,
                                        membership::MemberState::Alive,
                                        &membership::Member::mState);
  std::cout << aEntries << " entries: "
            << static_cast<double>(traffic.mBytes) / entrySeconds
            << " bytes/s sent, "
            << static_cast<double>(traffic.mDatagrams) / entrySeconds
            << " datagrams/s, " << 100 * cpuSeconds / entrySeconds
            << " % of a core, members alive " << alive << std::endl;
}

} // namespace

auto main() -> int
{
  for (const auto entries : { 2, 4, 8, 16, 32, 128, 300 }) {
    Measure(entries);
  }
  return 0;
}

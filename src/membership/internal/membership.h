#pragma once

#include "eelgrasspost/snapshot/snapshot.h"
#include "memberlist.h"

namespace eelgrasspost::membership {

class Membership : public IMembership
{
public:
  Membership(MemberIdentity aSelf,
             MembershipOptions aOptions,
             SendDatagram aSend);

  auto Self() const -> const MemberIdentity& override;
  auto View() const -> std::shared_ptr<const MemberView> override;
  auto AddSeeds(const std::vector<net::Address>& aSeeds) -> void override;
  auto SetLoad(MemberLoad aLoad) -> void override;
  auto SetRevision(std::uint64_t aRevision) -> void override;
  auto Leave() -> void override;
  auto AddLeavingWorker(LeavingWorker aWorker) -> void override;
  auto Receive(std::string_view aBytes) -> void override;
  auto Run() -> net::Task<void> override;

private:
  /** Chooses members of the own failure domain in round-robin order and one
   * address outside it. */
  auto ChooseTargets() -> std::vector<net::Address>;
  auto SendHeartbeats() -> void;
  auto Publish() -> void;

  MembershipOptions mOptions;
  SendDatagram mSend;
  Member mSelf;
  MemberList mList;
  std::vector<net::Address> mSeeds;
  std::size_t mNextSameDomain = 0;
  std::size_t mNextOtherDomain = 0;
  std::size_t mNextUnreached = 0;
  snapshot::Snapshot<MemberView> mView;
};

} // namespace eelgrasspost::membership

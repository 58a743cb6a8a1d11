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
  auto AddContacts(const std::vector<net::Address>& aContacts) -> void override;
  auto SetLoad(MemberLoad aLoad) -> void override;
  auto SetRevision(std::uint64_t aRevision) -> void override;
  auto Leave() -> void override;
  auto AddLeavingWorker(LeavingWorker aWorker) -> void override;
  auto Receive(std::string_view aBytes) -> void override;
  auto Run() -> net::Task<void> override;

private:
  auto SendHeartbeats() -> void;
  auto Publish() -> void;

  MembershipOptions mOptions;
  SendDatagram mSend;
  Member mOwn;
  MemberList mList;
  std::vector<net::Address> mContacts;
  snapshot::Snapshot<MemberView> mView;
};

} // namespace eelgrasspost::membership

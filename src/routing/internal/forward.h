#pragma once

#include "eelgrasspost/net/codec.h"
#include "eelgrasspost/routing/routingtypes.h"

namespace eelgrasspost::routing {

/** A request that an entry hands to the owner of a worker. */
struct ForwardRequest
{
  std::string mService;
  std::string mRequestId;
  std::string mMethod;
  std::string mTarget;
  std::vector<net::HttpField> mFields;
  std::string mBody;
  /** Time left when it was sent; clocks of two VMs are never compared. */
  std::int64_t mRemainingMs = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(
      mService, mRequestId, mMethod, mTarget, mFields, mBody, mRemainingMs);
  }
};

struct ForwardReply
{
  Outcome mOutcome = Outcome::NotRun;
  std::uint32_t mStatus = 0;
  std::vector<net::HttpField> mFields;
  std::string mBody;
  std::string mError;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mOutcome, mStatus, mFields, mBody, mError);
  }
};

auto ToForward(const ServiceRequest& aRequest) -> ForwardRequest;
auto FromForward(ForwardRequest aForward) -> ServiceRequest;
auto ToReply(ServiceOutcome aOutcome) -> ForwardReply;
auto FromReply(ForwardReply aReply) -> ServiceOutcome;

} // namespace eelgrasspost::routing

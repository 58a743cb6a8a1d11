#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "eelgrasspost/cell/cellstate.h"
#include "eelgrasspost/dispatch/dispatchtypes.h"

namespace eelgrasspost::dispatch {

/** Notices by failure domain. */
using Evacuations = std::map<std::string, EvacuationNotice>;

/** Whether the newest request has not been withdrawn. */
auto IsInForce(const EvacuationNotice& aNotice) -> bool;

auto DomainsInForce(const Evacuations& aKnown) -> cell::DomainSet;

/** Records a request that was read at a version of the store; false if nothing
 * is in force, or withdrawn, that was not before. */
auto NoteRequest(Evacuations& aKnown,
                 const std::string& aDomain,
                 std::uint64_t aVersion) -> bool;

/** Records that no request for a domain exists at a version of the store. */
auto NoteWithdrawal(Evacuations& aKnown,
                    const std::string& aDomain,
                    std::uint64_t aVersion) -> bool;

/** Records for which domains requests exist at a version of the store, all of
 * which were read. Requests from before that only a peer has told of are
 * withdrawn if they are not among them. */
auto NoteExisting(Evacuations& aKnown,
                  const cell::DomainSet& aExisting,
                  std::uint64_t aVersion) -> bool;

/** Adopts the notices of a peer. aReadVersion: the requests that exist at this
 * version were all read here, so that one which a peer still knows from before
 * and which is not among them has been withdrawn. */
auto AdoptNotices(Evacuations& aKnown,
                  const std::vector<EvacuationNotice>& aNotices,
                  std::uint64_t aReadVersion) -> bool;

} // namespace eelgrasspost::dispatch

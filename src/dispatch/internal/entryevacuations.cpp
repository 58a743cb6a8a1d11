#include "dispatchentry.h"

#include <algorithm>

#include <boost/json/serialize.hpp>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/cell/evacuation.h"
#include "eelgrasspost/dispatch/dispatchlogevents.h"

namespace eelgrasspost::dispatch {

namespace {

auto Number(std::uint64_t aValue) -> std::int64_t
{
  return static_cast<std::int64_t>(aValue);
}

} // namespace

auto DispatchEntry::FollowsEvacuations() const -> bool
{
  return mSettings.mEvacuationMs > 0;
}

auto DispatchEntry::OnEvacuationRequested(const std::string& aDomain,
                                          std::uint64_t aVersion) -> void
{
  mRequestedDomains.insert(aDomain);
  if (FollowsEvacuations() && NoteRequest(mEvacuations, aDomain, aVersion)) {
    ApplyEvacuations("store");
  }
}

auto DispatchEntry::OnEvacuationRemoved(const std::string& aDomain,
                                        std::uint64_t aVersion) -> void
{
  mRequestedDomains.erase(aDomain);
  if (FollowsEvacuations() && NoteWithdrawal(mEvacuations, aDomain, aVersion)) {
    ApplyEvacuations("store");
  }
}

auto DispatchEntry::OnEvacuationsRead() -> void
{
  const auto isChanged =
    FollowsEvacuations() && NoteExisting(mEvacuations,
                                         mRequestedDomains,
                                         mConfigurationWatch.KnownVersion());
  if (isChanged) {
    ApplyEvacuations("store");
  }
}

auto DispatchEntry::OnEvacuationNotices(
  const std::vector<EvacuationNotice>& aNotices) -> void
{
  const auto isChanged =
    FollowsEvacuations() &&
    AdoptNotices(mEvacuations, aNotices, mConfigurationWatch.KnownVersion());
  if (isChanged) {
    ApplyEvacuations("peer");
  }
}

auto DispatchEntry::ApplyEvacuations(std::string_view aSource) -> void
{
  const auto inForce = DomainsInForce(mEvacuations);
  const auto log = [&](const std::string& aDomain,
                       const base::LogEvent& aEvent) {
    const auto& notice = mEvacuations.at(aDomain);
    mLog.Record(aEvent,
                { { "domain", aDomain },
                  { "requested_at", Number(notice.mRequestedAt) },
                  { "withdrawn_at", Number(notice.mWithdrawnAt) },
                  { "source", aSource } });
  };
  for (const auto& it : inForce) {
    if (!mEvacuatedDomains.contains(it)) {
      log(it, kEvacuationRequested);
    }
  }
  for (const auto& it : mEvacuatedDomains) {
    if (!inForce.contains(it)) {
      log(it, kEvacuationWithdrawn);
    }
  }
  mEvacuatedDomains = inForce;
  mMetrics.FindGauge("evacuated_domains").Set(Number(mEvacuatedDomains.size()));
  for (const auto& [name, it] : mHolders) {
    it->SetEvacuatedDomains(mEvacuatedDomains);
  }
  mPeers.SendSoon();
}

/** The evacuations in force and what they mean for the cells of this entry, as
 * JSON. */
auto DispatchEntry::RenderEvacuations() const -> std::string
{
  boost::json::array domains;
  for (const auto& [domain, it] : mEvacuations) {
    domains.push_back(
      boost::json::object{ { "domain", domain },
                           { "in_force", IsInForce(it) },
                           { "requested_at", it.mRequestedAt },
                           { "withdrawn_at", it.mWithdrawnAt } });
  }
  boost::json::array cells;
  for (const auto& [name, it] : mHolders) {
    const auto summary = cell::SummarizeEvacuation(it->State());
    cells.push_back(
      boost::json::object{ { "cell", name },
                           { "is_closed", cell::IsClosed(it->State()) },
                           { "evacuated_workers", summary.mWorkers },
                           { "runs_on_them", summary.mRuns },
                           { "waiting_tasks", summary.mWaitingTasks },
                           { "held_back_starts", summary.mHeldBackStarts } });
  }
  return boost::json::serialize(
    boost::json::object{ { "follows_requests", FollowsEvacuations() },
                         { "domains", std::move(domains) },
                         { "cells", std::move(cells) } });
}

} // namespace eelgrasspost::dispatch

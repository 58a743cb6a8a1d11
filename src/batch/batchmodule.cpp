#include "eelgrasspost/batch/batchmodule.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "internal/jobs.h"

namespace eelgrasspost::batch {

namespace {

auto Place(IJobs& aJobs, PlaceRequest aRequest) -> net::Task<PlaceReply>
{
  co_return aJobs.HandlePlaceRequest(aRequest);
}

} // namespace

auto MakeJobs(BatchDependencies aDependencies, BatchOptions aOptions)
  -> std::unique_ptr<IJobs>
{
  return std::make_unique<Jobs>(aDependencies, aOptions);
}

auto RegisterPlaceTasksHandler(net::MessageServer& aServer,
                               IJobs& aJobs,
                               net::asio::any_io_executor aThread0) -> void
{
  net::RegisterTypedHandler<PlaceRequest, PlaceReply>(
    aServer,
    net::MessageKind::PlaceTasks,
    [&aJobs, thread0 = std::move(aThread0)](
      PlaceRequest aRequest) -> net::Task<PlaceReply> {
      return net::asio::co_spawn(
        thread0, Place(aJobs, std::move(aRequest)), net::asio::use_awaitable);
    });
}

} // namespace eelgrasspost::batch

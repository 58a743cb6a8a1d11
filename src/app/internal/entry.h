#pragma once

#include <memory>

#include "eelgrasspost/base/metrics.h"
#include "eelgrasspost/batch/ijobs.h"
#include "eelgrasspost/idempotency/iidempotency.h"
#include "eelgrasspost/membership/imembership.h"
#include "eelgrasspost/net/datagram.h"
#include "eelgrasspost/net/http.h"
#include "eelgrasspost/net/messages.h"
#include "eelgrasspost/ownership/iownership.h"
#include "eelgrasspost/platform/platformmodule.h"
#include "eelgrasspost/platform/storeclient.h"
#include "eelgrasspost/releasenote/ireleasenotes.h"
#include "eelgrasspost/routing/irouter.h"
#include "entrysettings.h"

namespace eelgrasspost::app {

/** One entry process: all modules wired together. */
class Entry
{
public:
  explicit Entry(EntrySettings aSettings);
  ~Entry();

  /** Binds the addresses and starts the modules. */
  auto Start() -> absl::Status;
  /** Runs until the process is told to stop. */
  auto Run() -> void;

private:
  friend class OperatorDoor;

  auto Answer(net::HttpRequest aRequest) -> net::Task<net::HttpResponse>;
  auto ListenControl() -> absl::StatusOr<net::Address>;
  auto MakeModules(const net::Address& aControl) -> void;
  auto StopGracefully() -> net::Task<void>;
  /** Keeps this entry to its share of the table. */
  auto ShareTable() -> net::Task<void>;
  /** Steps of a graceful stop, in their order. */
  auto DrainCallers() -> net::Task<void>;
  auto DrainForwards() -> net::Task<void>;
  auto FinishRecording() -> net::Task<void>;
  auto WaitForSignal() -> net::Task<void>;

  EntrySettings mSettings;
  net::IoPool mPool;
  base::Metrics mMetrics;
  net::HttpClient mHttpClient;
  net::MessageClient mMessageClient;
  net::MessageServer mMessageServer;
  net::DatagramSocket mDatagrams;
  net::HttpServer mHttpServer;
  std::unique_ptr<platform::ITable> mHttpTable;
  std::unique_ptr<platform::IStoreClient> mTable;
  std::unique_ptr<platform::IObjectStore> mObjectStore;
  std::unique_ptr<platform::IVmList> mVmList;
  std::unique_ptr<platform::IWorker> mWorker;
  std::unique_ptr<membership::IMembership> mMembership;
  std::unique_ptr<releasenote::IReleaseNotes> mNotes;
  std::unique_ptr<ownership::IOwnership> mOwnership;
  std::unique_ptr<idempotency::IIdempotency> mKeys;
  std::unique_ptr<routing::IRouter> mRouter;
  std::unique_ptr<batch::IJobs> mJobs;
  std::atomic<bool> mStopping{ false };
};

} // namespace eelgrasspost::app

#pragma once

#include <memory>

#include "eelgrasspost/audit/auditmodule.h"
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

/** An entry process, which creates and connects all modules. */
class Entry
{
public:
  explicit Entry(EntrySettings aSettings);
  ~Entry();

  /** Binds the listening addresses and starts the modules. */
  auto Start() -> absl::Status;
  /** Runs until the process receives a stop signal. */
  auto Run() -> void;

private:
  friend class OperatorHandler;

  auto HandleRequest(net::HttpRequest aRequest) -> net::Task<net::HttpResponse>;
  auto ListenControl() -> absl::StatusOr<net::Address>;
  auto MakeModules(const net::Address& aControl) -> void;
  auto StopGracefully() -> net::Task<void>;
  /** Regularly updates the number of entries that share the table's rate
   * limits. */
  auto UpdateTableShare() -> net::Task<void>;
  /** Steps of a graceful stop, in this order. */
  auto DrainCallers() -> net::Task<void>;
  auto DrainForwards() -> net::Task<void>;
  auto DrainRecords() -> net::Task<void>;
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
  std::unique_ptr<idempotency::IIdempotency> mIdempotency;
  std::unique_ptr<routing::IRouter> mRouter;
  std::unique_ptr<batch::IJobs> mJobs;
  std::unique_ptr<audit::IAuditTrail> mAudit;
  std::atomic<bool> mIsStopping{ false };
};

} // namespace eelgrasspost::app

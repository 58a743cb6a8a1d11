#include "dispatchcommand.h"

#include <csignal>
#include <iostream>

#include "dispatchsettings.h"
#include "eelgrasspost/adapter/adapter.h"
#include "eelgrasspost/base/logging.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/dispatch/dispatchmodule.h"
#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::app {

auto RunDispatch(const std::string& aSettingsPath) -> ExitCode
{
  auto settings = LoadDispatchSettings(aSettingsPath);
  if (!settings.ok()) {
    std::cerr << base::MessageOf(settings.status()) << "\n";
    return ExitCode::Failed;
  }
  // A write to a closed connection then returns an error.
  std::signal(SIGPIPE, SIG_IGN);
  // The VMs have one core.
  net::IoPool pool(1);
  net::HttpClientOptions options;
  options.mBindIp = settings->mPeers.mIp;
  net::HttpClient client(pool.Size(), options);
  const auto store = adapter::MakeSharedStore(client, settings->mStore);
  const auto workers = adapter::MakeWorkerOrders(client);
  const auto formats = adapter::MakeFormats();
  const auto entry = dispatch::MakeDispatchEntry(
    pool, *std::move(settings), { *store, *workers, *formats });
  const auto status = entry->Start();
  if (!status.ok()) {
    std::cerr << base::MessageOf(status) << "\n";
    return ExitCode::Failed;
  }
  entry->Run();
  return ExitCode::Done;
}

} // namespace eelgrasspost::app

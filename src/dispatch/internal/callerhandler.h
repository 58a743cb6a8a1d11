#pragma once

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "eelgrasspost/base/eventlog.h"
#include "eelgrasspost/base/metrics.h"
#include "eelgrasspost/dispatch/dispatchtypes.h"
#include "eelgrasspost/net/http.h"

namespace eelgrasspost::dispatch {

/** What the door needs of its entry. */
struct CallerHandlerContext
{
  const IFormats& mFormats;
  ISharedStore& mStore;
  base::Metrics& mMetrics;
  base::EventLog& mLog;
  std::uint32_t mPartitions = 4;
  std::string mDomain;
  /** Null before the first configuration. */
  std::function<std::shared_ptr<const Configuration>()> mConfiguration;
  /** Cells that can be reached, here or at peers, with their room. */
  std::function<std::vector<CellStatus>()> mCells;
  /** Runs a command where its cell is held. */
  std::function<net::Task<JobReply>(JobCommand)> mExecute;
  /** Jobs of a queue that wait for their first start, everywhere. */
  std::function<std::uint64_t(const std::string&)> mPending;
};

/** Answers the requests of callers. */
class CallerHandler
{
public:
  explicit CallerHandler(CallerHandlerContext aContext);

  auto HandleRequest(net::HttpRequest aRequest) -> net::Task<net::HttpResponse>;

private:
  auto BuildResponse(const net::HttpRequest& aRequest)
    -> net::Task<CallerResponse>;
  auto Submit(const CallerRequest& aRequest,
              const std::string& aBody,
              MonotonicTime aDeadline) -> net::Task<CallerResponse>;
  auto GetState(std::string aId, MonotonicTime aDeadline)
    -> net::Task<CallerResponse>;
  auto Cancel(std::string aId, MonotonicTime aDeadline)
    -> net::Task<CallerResponse>;
  /** Where a job is; a final state when it has ended. */
  struct Location
  {
    bool mIsCertain = false;
    bool mExists = false;
    std::string mCell;
    cell::JobState mState = cell::JobState::Queued;
  };
  auto Locate(std::string aId, MonotonicTime aDeadline) -> net::Task<Location>;
  auto ReadIdRow(std::string aId, MonotonicTime aDeadline)
    -> net::Task<Location>;
  auto RankCells(const cell::JobSpec& aJob) const -> std::vector<std::string>;
  auto LogResponse(const CallerRequest& aRequest,
                   const Configuration& aConfiguration,
                   const CallerResponse& aAnswer,
                   MonotonicTime aStartedAt) -> void;
  auto CacheLocation(const std::string& aId, const std::string& aCell) -> void;

  CallerHandlerContext mContext;
  std::unordered_map<std::string, std::string> mCellsByJob;
  base::Counter& mAccepted;
  base::Counter& mRefused;
  base::Histogram& mRequestTime;
  base::Counter& mUncertain;
};

} // namespace eelgrasspost::dispatch

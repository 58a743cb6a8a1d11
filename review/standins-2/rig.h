#pragma once

// Stand-ins of the users' platform for the cases of the second review: a store,
// workers and clients, written after PROTOCOL.md. All of them run in the
// process of a case; entries of the project run as separate processes.

#include <arpa/inet.h>
#include <atomic>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

namespace rig {

namespace json = boost::json;
namespace beast = boost::beast;
namespace http = beast::http;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline const Clock::time_point kStart = Clock::now();

inline auto NowMs() -> std::int64_t
{
  return std::chrono::duration_cast<Ms>(Clock::now() - kStart).count();
}
inline auto WallMs() -> std::int64_t
{
  return std::chrono::duration_cast<Ms>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}
inline auto SleepMs(std::int64_t aMs) -> void
{
  std::this_thread::sleep_for(Ms(aMs));
}

/** Writes what was sent, answered and run to record.txt. */
class Record
{
public:
  auto Open(const std::string& aPath) -> void
  {
    mFile = std::fopen(aPath.c_str(), "w");
  }
  template<typename... Args>
  auto Add(const char* aFormat, Args... aArgs) -> void
  {
    const std::lock_guard lock(mMutex);
    if (!mFile) {
      return;
    }
    std::fprintf(mFile, "%7.3f ", static_cast<double>(NowMs()) / 1000);
    std::fprintf(mFile, aFormat, aArgs...);
    std::fputc('\n', mFile);
    std::fflush(mFile);
  }

private:
  std::mutex mMutex;
  std::FILE* mFile = nullptr;
};
inline Record gRecord;

struct Request
{
  std::string mMethod;
  std::string mTarget;
  std::string mInstance;
  std::string mBody;
};

struct Response
{
  int mStatus = 200;
  std::string mBody;
  /** The connection is closed without a response. */
  bool mIsLost = false;
};

/** HTTP/1.1 server with a thread for each connection. */
class Server
{
public:
  using Handler = std::function<Response(const Request&)>;

  ~Server() { Stop(); }

  auto Start(const std::string& aIp, std::uint16_t aPort, Handler aHandler)
    -> std::uint16_t
  {
    mHandler = std::move(aHandler);
    mFd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(mFd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(aPort);
    ::inet_pton(AF_INET, aIp.c_str(), &at.sin_addr);
    if (::bind(mFd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 ||
        ::listen(mFd, 256) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    socklen_t size = sizeof(at);
    ::getsockname(mFd, reinterpret_cast<sockaddr*>(&at), &size);
    mIsStopped = false;
    mAcceptor = std::thread([this] { Accept(); });
    return ntohs(at.sin_port);
  }

  /** Closes the listener and all connections, as when the process is killed. */
  auto Stop() -> void
  {
    if (mIsStopped.exchange(true)) {
      return;
    }
    ::shutdown(mFd, SHUT_RDWR);
    ::close(mFd);
    mAcceptor.join();
    std::list<std::thread> threads;
    {
      const std::lock_guard lock(mMutex);
      for (const auto it : mOpen) {
        ::shutdown(it, SHUT_RDWR);
      }
      threads.swap(mThreads);
    }
    for (auto& it : threads) {
      it.join();
    }
  }
  auto IsStopped() const -> bool { return mIsStopped; }

private:
  auto Accept() -> void
  {
    while (!mIsStopped) {
      const int fd = ::accept4(mFd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (mIsStopped) {
          return;
        }
        SleepMs(1);
        continue;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const std::lock_guard lock(mMutex);
      if (mIsStopped) {
        ::close(fd);
        return;
      }
      mOpen.insert(fd);
      mThreads.emplace_back([this, fd] { Serve(fd); });
    }
  }

  auto Serve(int aFd) -> void
  {
    asio::io_context context;
    Tcp::socket socket(context);
    boost::system::error_code ec;
    socket.assign(Tcp::v4(), aFd, ec);
    beast::flat_buffer buffer;
    while (!mIsStopped) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(16 * 1024 * 1024);
      http::read(socket, buffer, parser, ec);
      if (ec) {
        break;
      }
      const auto& message = parser.get();
      Request request;
      request.mMethod = std::string(message.method_string());
      request.mTarget = std::string(message.target());
      request.mInstance =
        std::string(message["X-Eelgrasspost-Expected-Instance"]);
      request.mBody = message.body();
      const auto response = mHandler(request);
      if (response.mIsLost || mIsStopped) {
        break;
      }
      http::response<http::string_body> out;
      out.version(11);
      out.result(static_cast<unsigned>(response.mStatus));
      out.set(http::field::content_type, "application/json");
      out.keep_alive(message.keep_alive());
      out.body() = response.mBody;
      out.prepare_payload();
      http::write(socket, out, ec);
      if (ec || !message.keep_alive()) {
        break;
      }
    }
    const std::lock_guard lock(mMutex);
    mOpen.erase(aFd);
    socket.close(ec);
  }

  Handler mHandler;
  int mFd = -1;
  std::atomic<bool> mIsStopped{ true };
  std::thread mAcceptor;
  std::mutex mMutex;
  std::set<int> mOpen;
  std::list<std::thread> mThreads;
};

inline auto Base64(std::string_view aBytes) -> std::string
{
  namespace base64 = beast::detail::base64;
  std::string out(base64::encoded_size(aBytes.size()), '\0');
  out.resize(base64::encode(out.data(), aBytes.data(), aBytes.size()));
  return out;
}
inline auto Unbase64(std::string_view aText) -> std::string
{
  namespace base64 = beast::detail::base64;
  std::string out(base64::decoded_size(aText.size()), '\0');
  out.resize(base64::decode(out.data(), aText.data(), aText.size()).first);
  return out;
}

inline auto ParseQuery(const std::string& aTarget)
  -> std::map<std::string, std::string>
{
  std::map<std::string, std::string> out;
  auto at = aTarget.find('?');
  while (at != std::string::npos) {
    const auto end = aTarget.find('&', at + 1);
    const auto pair =
      aTarget.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    const auto equals = pair.find('=');
    std::string value;
    const auto raw = pair.substr(equals + 1);
    for (std::size_t i = 0; i < raw.size(); ++i) {
      if (raw[i] == '%' && i + 2 < raw.size()) {
        value +=
          static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        value += raw[i];
      }
    }
    out[pair.substr(0, equals)] = value;
    at = end;
  }
  return out;
}

inline auto Int(const json::object& aObject, std::string_view aKey)
  -> std::int64_t
{
  const auto* it = aObject.if_contains(aKey);
  return it && it->is_number() ? it->to_number<std::int64_t>() : 0;
}
inline auto Text(const json::object& aObject, std::string_view aKey)
  -> std::string
{
  const auto* it = aObject.if_contains(aKey);
  return it && it->is_string() ? std::string(it->as_string()) : std::string();
}

/** The platform's metadata store. */
class Store
{
public:
  /** Called for each call before it is served; a response that is returned
   * replaces it. */
  using Fault = std::function<std::optional<Response>(const Request&)>;

  std::int64_t mTxMs = 8;
  std::size_t mRowBytes = 65536;

  auto Start(const std::string& aIp) -> std::string
  {
    const auto port = mServer.Start(
      aIp, 0, [this](const Request& aRequest) { return Handle(aRequest); });
    mExpiry = std::thread([this] {
      while (!mIsStopped) {
        SleepMs(100);
        Expire();
      }
    });
    return aIp + ":" + std::to_string(port);
  }
  ~Store()
  {
    mIsStopped = true;
    mChanged.notify_all();
    mServer.Stop();
    if (mExpiry.joinable()) {
      mExpiry.join();
    }
  }
  auto SetFault(Fault aFault) -> void
  {
    const std::lock_guard lock(mFaultMutex);
    mFault = std::move(aFault);
  }
  /** A write of the operator or of a worker. */
  auto Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue) -> void
  {
    const std::lock_guard lock(mMutex);
    Set({ aTable, {}, aKey }, Base64(aValue), ++mVersion);
    mChanged.notify_all();
  }
  auto Remove(const std::string& aTable, const std::string& aKey) -> void
  {
    const std::lock_guard lock(mMutex);
    Erase({ aTable, {}, aKey }, ++mVersion);
    mChanged.notify_all();
  }
  /** The values of a table's rows, by key. */
  auto Read(const std::string& aTable) -> std::map<std::string, std::string>
  {
    const std::lock_guard lock(mMutex);
    std::map<std::string, std::string> out;
    for (const auto& [key, row] : mRows) {
      if (key.mTable == aTable) {
        out[key.mKey] = Unbase64(row.mValue);
      }
    }
    return out;
  }
  auto Refused() const -> std::int64_t { return mRefused; }

private:
  struct Key
  {
    std::string mTable, mPart, mKey;
    auto operator<=>(const Key&) const = default;
  };
  struct Row
  {
    std::string mValue;
    std::uint64_t mVersion = 0;
    std::int64_t mAtMs = 0;
  };
  struct Change
  {
    Key mKey;
    std::uint64_t mVersion = 0;
  };

  static auto KeyOf(const json::object& aRow) -> Key
  {
    return { Text(aRow, "table"), Text(aRow, "part"), Text(aRow, "key") };
  }
  static auto ToJson(const Key& aKey, const Row& aRow) -> json::object
  {
    return { { "table", aKey.mTable },
             { "part", aKey.mPart },
             { "key", aKey.mKey },
             { "value", aRow.mValue },
             { "schemaVer", aRow.mVersion } };
  }
  auto Set(const Key& aKey, std::string aValue, std::uint64_t aVersion) -> void
  {
    mRows[aKey] = { std::move(aValue), aVersion, NowMs() };
    mHistory.push_back({ aKey, aVersion });
  }
  auto Erase(const Key& aKey, std::uint64_t aVersion) -> void
  {
    if (mRows.erase(aKey) > 0) {
      mHistory.push_back({ aKey, aVersion });
    }
  }
  auto Expire() -> void
  {
    const std::lock_guard lock(mMutex);
    std::vector<Key> expired;
    for (const auto& [key, row] : mRows) {
      if (key.mTable == "servers" && NowMs() - row.mAtMs > 4500) {
        expired.push_back(key);
      }
    }
    for (const auto& it : expired) {
      Erase(it, ++mVersion);
    }
    if (!expired.empty()) {
      mChanged.notify_all();
    }
  }
  auto Finish(json::object aBody, int aStatus = 200) -> Response
  {
    aBody["schemaVer"] = mVersion;
    aBody["nowMs"] = NowMs();
    return { aStatus, json::serialize(aBody) };
  }

  auto Handle(const Request& aRequest) -> Response
  {
    Fault fault;
    {
      const std::lock_guard lock(mFaultMutex);
      fault = mFault;
    }
    if (fault) {
      if (auto response = fault(aRequest)) {
        return *response;
      }
    }
    if (aRequest.mTarget == "/rows-tx") {
      return Commit(aRequest.mBody);
    }
    auto query = ParseQuery(aRequest.mTarget);
    if (aRequest.mTarget.starts_with("/rows-get")) {
      return Range(query);
    }
    if (aRequest.mTarget.starts_with("/rows-feed")) {
      return Feed(query);
    }
    return { 404, "{}" };
  }

  auto Commit(const std::string& aText) -> Response
  {
    SleepMs(mTxMs);
    const auto body = json::parse(aText).as_object();
    const auto& expected = body.at("expectedRev").as_array();
    const auto& writes = body.at("writes").as_array();
    const auto& removals = body.at("remove").as_array();
    auto isTooLarge = aText.size() > 1'000'000 ||
                      expected.size() + writes.size() + removals.size() > 100;
    for (const auto& it : writes) {
      isTooLarge = isTooLarge ||
                   Unbase64(Text(it.as_object(), "value")).size() > mRowBytes;
    }
    if (isTooLarge) {
      ++mRefused;
      gRecord.Add("store: refused a transaction of %zu bytes, %zu entries",
                  aText.size(),
                  expected.size() + writes.size() + removals.size());
      return { 400, "{}" };
    }
    const std::lock_guard lock(mMutex);
    json::array rows;
    auto isConflict = false;
    for (const auto& it : expected) {
      const auto key = KeyOf(it.as_object());
      const auto row = mRows.find(key);
      const auto version = row == mRows.end() ? 0 : row->second.mVersion;
      isConflict = isConflict || version != static_cast<std::uint64_t>(
                                              Int(it.as_object(), "schemaVer"));
      if (row != mRows.end()) {
        rows.push_back(ToJson(key, row->second));
      }
    }
    if (isConflict) {
      return Finish({ { "rows", rows } }, 412);
    }
    ++mVersion;
    for (const auto& it : writes) {
      Set(KeyOf(it.as_object()), Text(it.as_object(), "value"), mVersion);
    }
    for (const auto& it : removals) {
      Erase(KeyOf(it.as_object()), mVersion);
    }
    mChanged.notify_all();
    return Finish({});
  }

  auto Range(std::map<std::string, std::string>& aQuery) -> Response
  {
    const std::lock_guard lock(mMutex);
    const Key from{ aQuery["table"], aQuery["part"], aQuery["from"] };
    const auto& before = aQuery["target"];
    const auto limit =
      aQuery["limit"].empty()
        ? std::size_t{ 500 }
        : std::min<std::size_t>(500, std::stoul(aQuery["limit"]));
    json::array rows;
    auto hasMore = false;
    std::size_t bytes = 0;
    for (auto it = mRows.lower_bound(from); it != mRows.end(); ++it) {
      const auto& [key, row] = *it;
      if (key.mTable != from.mTable || key.mPart != from.mPart ||
          (!before.empty() && key.mKey >= before)) {
        break;
      }
      if (rows.size() == limit || bytes > 900'000) {
        hasMore = true;
        break;
      }
      bytes += row.mValue.size() + 100;
      rows.push_back(ToJson(key, row));
    }
    return Finish({ { "rows", rows }, { "hasMore", hasMore } });
  }

  auto Feed(std::map<std::string, std::string>& aQuery) -> Response
  {
    const auto after = std::stoull(aQuery["after"]);
    const auto wait =
      aQuery["waitMs"].empty() ? 0 : std::stol(aQuery["waitMs"]);
    const auto until = Clock::now() + Ms(wait);
    std::unique_lock lock(mMutex);
    json::array rows;
    while (true) {
      std::map<Key, std::uint64_t> changed;
      const auto first =
        std::upper_bound(mHistory.begin(),
                         mHistory.end(),
                         after,
                         [](std::uint64_t aLeft, const Change& aItem) {
                           return aLeft < aItem.mVersion;
                         });
      for (auto it = first; it != mHistory.end(); ++it) {
        if (it->mKey.mTable == aQuery["table"]) {
          changed[it->mKey] = it->mVersion;
        }
      }
      std::vector<std::pair<std::uint64_t, Key>> order;
      for (const auto& [key, version] : changed) {
        order.emplace_back(version, key);
      }
      std::sort(order.begin(), order.end());
      for (const auto& [version, key] : order) {
        const auto row = mRows.find(key);
        auto out =
          ToJson(key, row == mRows.end() ? Row{ {}, version } : row->second);
        if (row == mRows.end()) {
          out["removed"] = true;
        }
        rows.push_back(std::move(out));
      }
      if (!rows.empty() || Clock::now() >= until || mIsStopped) {
        return Finish({ { "rows", rows } });
      }
      mChanged.wait_until(lock, until);
    }
  }

  Server mServer;
  std::thread mExpiry;
  std::atomic<bool> mIsStopped{ false };
  std::mutex mFaultMutex;
  Fault mFault;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<Key, Row> mRows;
  std::vector<Change> mHistory;
  std::uint64_t mVersion = 1;
  std::atomic<std::int64_t> mRefused{ 0 };
};

/** What the workers have done with a run. */
struct RunEvent
{
  std::int64_t mAtMs = 0;
  std::string mWorker;
  std::string mTask;
  std::int64_t mAttempt = 0;
  /** start, or how it ended: done, failed, stopped, lapsed, crashed. */
  std::string mWhat;
};

class RunLog
{
public:
  auto Add(const std::string& aWorker,
           const std::string& aTask,
           std::int64_t aAttempt,
           const std::string& aWhat) -> void
  {
    {
      const std::lock_guard lock(mMutex);
      mEvents.push_back({ NowMs(), aWorker, aTask, aAttempt, aWhat });
    }
    gRecord.Add("%s: %s %s attempt %lld",
                aWorker.c_str(),
                aWhat.c_str(),
                aTask.c_str(),
                static_cast<long long>(aAttempt));
  }
  auto All() -> std::vector<RunEvent>
  {
    const std::lock_guard lock(mMutex);
    return mEvents;
  }

private:
  std::mutex mMutex;
  std::vector<RunEvent> mEvents;
};
inline RunLog gRuns;

struct WorkerOptions
{
  std::string mId;
  std::string mZone = "zone-a";
  std::string mIp;
  std::string mService = "service";
  std::string mLabel = "a";
  std::int64_t mCpu = 16000;
  std::int64_t mMemMb = 64000;
  std::int64_t mMaxHoldMs = 6000;
  std::int64_t mStopMs = 100;
  std::int64_t mCheckpointMs = 1000;
};

/** A worker; Crash and Restart end its life and begin the next under its id. */
class Worker
{
public:
  Worker(Store& aStore, WorkerOptions aOptions)
    : mStore(aStore)
    , mOptions(std::move(aOptions))
  {
    mPort = 0;
    Begin();
  }
  ~Worker()
  {
    if (!mServer.IsStopped()) {
      Crash(false);
    }
  }
  auto Crash(bool aIsLogged = true) -> void
  {
    mIsUp = false;
    mChanged.notify_all();
    mServer.Stop();
    mTicker.join();
    const std::lock_guard lock(mMutex);
    if (aIsLogged) {
      gRecord.Add("%s: crashes", mOptions.mId.c_str());
      for (const auto& [task, run] : mRuns) {
        gRuns.Add(mOptions.mId, task, run.mAttempt, "crashed");
      }
    }
    mRuns.clear();
    mEnds.clear();
    mSettled.clear();
    mToken = 0;
    mLeaseEnd = 0;
    mLastEnd = 0;
    mSequence = 0;
  }
  auto Restart() -> void { Begin(); }
  auto Id() const -> const std::string& { return mOptions.mId; }
  auto Running() -> std::size_t
  {
    const std::lock_guard lock(mMutex);
    return mRuns.size();
  }
  /** Changes how the next life reports itself. */
  auto Options() -> WorkerOptions& { return mOptions; }
  /** Its tasks work so many times as long. */
  std::atomic<double> mSlowness{ 1.0 };
  /** Called before each call is handled, outside the lock. */
  std::function<std::optional<Response>(const Request&)> mFault;
  /** Called after a response was made, before it is sent. */
  std::function<void(const Request&, Response&)> mAfter;

private:
  struct Run
  {
    std::int64_t mAttempt = 0;
    std::int64_t mDurationMs = 0;
    /** Work done, in ms of a sound worker. */
    double mWorkedMs = 0;
    bool mSaves = false;
    bool mFails = false;
    std::optional<Clock::time_point> mStopsAt;
  };

  auto Begin() -> void
  {
    mIsUp = true;
    mBornMs = WallMs();
    mBeganAt = Clock::now();
    const auto port =
      mServer.Start(mOptions.mIp, mPort, [this](const Request& aRequest) {
        return Handle(aRequest);
      });
    mPort = port;
    gRecord.Add("%s: begins a life, born %lld",
                mOptions.mId.c_str(),
                static_cast<long long>(mBornMs));
    mTicker = std::thread([this] { Tick(); });
  }
  auto ClockMs() const -> std::int64_t
  {
    return std::chrono::duration_cast<Ms>(Clock::now() - mBeganAt).count() + 1;
  }
  auto Register() -> void
  {
    json::object row{ { "backend", mOptions.mService },
                      { "address", mOptions.mIp + ":" + std::to_string(mPort) },
                      { "zone", mOptions.mZone },
                      { "version", "1" },
                      { "slots", 8 },
                      { "state", "ready" },
                      { "coldRemainingMs", 0 },
                      { "sequence", ++mSequence },
                      { "born", mBornMs },
                      { "labels", json::array{ mOptions.mLabel } },
                      { "capacity",
                        json::object{ { "cpu", mOptions.mCpu },
                                      { "memMb", mOptions.mMemMb },
                                      { "gpus", 0 } } } };
    mStore.Put("servers", mOptions.mId, json::serialize(row));
  }
  auto Tick() -> void
  {
    auto next = Clock::now();
    while (mIsUp) {
      if (Clock::now() >= next) {
        Register();
        next = Clock::now() + Ms(1500);
      }
      {
        const std::lock_guard lock(mMutex);
        EndDueRuns();
      }
      SleepMs(3);
    }
  }
  auto EndRun(const std::string& aTask, const std::string& aHow) -> void
  {
    const auto run = mRuns.at(aTask);
    mRuns.erase(aTask);
    auto& settled = mSettled[aTask];
    settled = std::max(settled, run.mAttempt);
    const auto saved = SavedOf(run, aHow == "stopped");
    mEnds.push_back(
      { ++mLastEnd, aTask, run.mAttempt, aHow, aHow == "done" ? "" : saved });
    gRuns.Add(mOptions.mId, aTask, run.mAttempt, aHow);
    mChanged.notify_all();
  }
  /** The newest checkpoint: one with each checkpointS of work, and at a stop.
   */
  auto SavedOf(const Run& aRun, bool aIsStop) const -> std::string
  {
    const auto worked = static_cast<std::int64_t>(aRun.mWorkedMs);
    const auto saved =
      aIsStop ? worked : worked - worked % mOptions.mCheckpointMs;
    if (!aRun.mSaves || saved == 0) {
      return {};
    }
    char out[32];
    std::snprintf(
      out, sizeof(out), "%08xb87a21d9", static_cast<unsigned>(saved));
    return out;
  }
  auto EndDueRuns() -> void
  {
    std::map<std::string, std::string> ended;
    const auto now = Clock::now();
    const auto passed =
      std::chrono::duration<double, std::milli>(now - mWorkedUntil).count();
    mWorkedUntil = now;
    for (auto& [task, run] : mRuns) {
      run.mWorkedMs += passed / mSlowness;
      if (ClockMs() >= mLeaseEnd) {
        ended[task] = "lapsed";
      } else if (run.mStopsAt && now >= *run.mStopsAt) {
        ended[task] = "stopped";
      } else if (run.mDurationMs > 0 &&
                 run.mWorkedMs >= static_cast<double>(run.mDurationMs)) {
        ended[task] = run.mFails ? "failed" : "done";
      }
    }
    for (const auto& [task, how] : ended) {
      EndRun(task, how);
    }
  }
  auto Extend(std::int64_t aDeadline) -> void
  {
    mLeaseEnd =
      std::max(mLeaseEnd, std::min(aDeadline, ClockMs() + mOptions.mMaxHoldMs));
  }
  auto Reply(json::object aBody, int aStatus = 200) -> Response
  {
    aBody["clockMs"] = ClockMs();
    aBody["born"] = mBornMs;
    return { aStatus, json::serialize(aBody) };
  }
  auto Refuse(const char* aReason) -> Response
  {
    return Reply({ { "reason", aReason } }, 409);
  }

  auto Handle(const Request& aRequest) -> Response
  {
    if (mFault) {
      if (auto response = mFault(aRequest)) {
        return *response;
      }
    }
    auto out = Execute(aRequest);
    if (mAfter) {
      mAfter(aRequest, out);
    }
    return out;
  }

public:
  /** Carries a call out, also one that was held back. */
  auto Execute(const Request& aRequest) -> Response
  {
    if (aRequest.mInstance != mOptions.mId) {
      return { 421, "{}" };
    }
    const auto body = json::parse(aRequest.mBody).as_object();
    std::unique_lock lock(mMutex);
    EndDueRuns();
    const auto token = Int(body, "fencingToken");
    if (token < mToken) {
      return Refuse("fence");
    }
    mToken = token;
    if (aRequest.mTarget == "/run-start") {
      return Start(body);
    }
    if (aRequest.mTarget == "/run-stop") {
      return StopRun(body);
    }
    if (aRequest.mTarget == "/pace") {
      return Reply({});
    }
    if (aRequest.mTarget == "/hold") {
      return Hold(body, lock);
    }
    return { 404, "{}" };
  }

private:
  auto Start(const json::object& aBody) -> Response
  {
    const auto task = Text(aBody, "task");
    const auto attempt = Int(aBody, "attempt");
    const auto deadline = Int(aBody, "deadlineMs");
    if (deadline <= ClockMs()) {
      return Refuse("late");
    }
    Extend(deadline);
    const auto found = mRuns.find(task);
    if (found != mRuns.end() && found->second.mAttempt == attempt) {
      return Reply({});
    }
    if (found != mRuns.end() || attempt <= mSettled[task]) {
      return Refuse("old");
    }
    Run run;
    run.mAttempt = attempt;
    const auto spec = Text(aBody, "spec");
    run.mDurationMs = std::atoll(spec.c_str());
    run.mFails = spec.find("fails") != std::string::npos;
    run.mSaves = spec.find("saves") != std::string::npos;
    const auto checkpoint = Text(aBody, "checkpoint");
    if (run.mSaves && checkpoint.size() == 16) {
      run.mWorkedMs = std::stoi(checkpoint.substr(0, 8), nullptr, 16);
    }
    mRuns[task] = run;
    gRuns.Add(mOptions.mId, task, attempt, "start");
    return Reply({});
  }
  auto StopRun(const json::object& aBody) -> Response
  {
    const auto task = Text(aBody, "task");
    const auto attempt = Int(aBody, "attempt");
    auto& settled = mSettled[task];
    settled = std::max(settled, attempt);
    const auto found = mRuns.find(task);
    if (found != mRuns.end() && found->second.mAttempt <= attempt &&
        !found->second.mStopsAt) {
      found->second.mStopsAt = Clock::now() + Ms(mOptions.mStopMs);
    }
    return Reply({});
  }
  auto Hold(const json::object& aBody, std::unique_lock<std::mutex>& aLock)
    -> Response
  {
    const auto cursor = Int(aBody, "ackCursor");
    std::erase_if(mEnds,
                  [&](const End& aEnd) { return aEnd.mNumber <= cursor; });
    if (const auto deadline = Int(aBody, "deadlineMs"); deadline > 0) {
      Extend(deadline);
    }
    const auto until =
      Clock::now() + Ms(std::min<std::int64_t>(2000, Int(aBody, "waitMs")));
    mChanged.wait_until(aLock, until, [&] { return !mEnds.empty() || !mIsUp; });
    json::array running;
    for (const auto& [task, run] : mRuns) {
      const auto percent =
        run.mDurationMs == 0
          ? 100
          : std::min<std::int64_t>(
              99,
              100 * static_cast<std::int64_t>(run.mWorkedMs) / run.mDurationMs);
      running.push_back(
        json::array{ task, run.mAttempt, SavedOf(run, false), percent, 0 });
    }
    json::array finished;
    for (const auto& it : mEnds) {
      if (finished.size() == 500) {
        break;
      }
      finished.push_back(
        json::array{ it.mNumber, it.mTask, it.mAttempt, it.mHow, it.mSaved });
    }
    return Reply({ { "running", running }, { "finished", finished } });
  }

  struct End
  {
    std::int64_t mNumber = 0;
    std::string mTask;
    std::int64_t mAttempt = 0;
    std::string mHow;
    std::string mSaved;
  };

  Store& mStore;
  WorkerOptions mOptions;
  Server mServer;
  std::uint16_t mPort = 0;
  std::thread mTicker;
  std::atomic<bool> mIsUp{ false };
  std::int64_t mBornMs = 0;
  Clock::time_point mBeganAt;
  Clock::time_point mWorkedUntil = Clock::now();
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::int64_t mToken = 0;
  std::int64_t mLeaseEnd = 0;
  std::int64_t mLastEnd = 0;
  std::int64_t mSequence = 0;
  std::map<std::string, Run> mRuns;
  std::map<std::string, std::int64_t> mSettled;
  std::deque<End> mEnds;
};

inline auto WaitUntil(const std::function<bool()>& aCondition,
                      std::int64_t aTimeoutMs) -> bool
{
  const auto until = NowMs() + aTimeoutMs;
  while (NowMs() < until) {
    if (aCondition()) {
      return true;
    }
    SleepMs(50);
  }
  return aCondition();
}

inline auto FreePort(const std::string& aIp) -> std::uint16_t
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  ::inet_pton(AF_INET, aIp.c_str(), &at.sin_addr);
  ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at));
  socklen_t size = sizeof(at);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  ::close(fd);
  return ntohs(at.sin_port);
}

struct Answer
{
  /** 0 if there was no complete response. */
  int mStatus = 0;
  std::string mBody;
};

/** Sends one request on a connection of its own. */
inline auto Call(const std::string& aIp,
                 std::uint16_t aPort,
                 const std::string& aMethod,
                 const std::string& aHost,
                 const std::string& aTarget,
                 const std::string& aBody,
                 std::int64_t aTimeoutMs) -> Answer
{
  try {
    asio::io_context context;
    beast::tcp_stream stream(context);
    stream.expires_after(Ms(aTimeoutMs));
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(aMethod);
    request.target(aTarget);
    request.set(http::field::host, aHost);
    request.set(http::field::content_type, "application/json");
    request.set("X-Eelgrasspost-Deadline-Ms", std::to_string(aTimeoutMs));
    request.body() = aBody;
    request.prepare_payload();
    http::response<http::string_body> response;
    beast::flat_buffer buffer;
    boost::system::error_code failed;
    stream.async_connect(
      Tcp::endpoint(asio::ip::make_address(aIp), aPort),
      [&](boost::system::error_code ec) {
        if (ec) {
          failed = ec;
          return;
        }
        http::async_write(
          stream, request, [&](boost::system::error_code ec2, std::size_t) {
            if (ec2) {
              failed = ec2;
              return;
            }
            http::async_read(stream,
                             buffer,
                             response,
                             [&](boost::system::error_code ec3, std::size_t) {
                               failed = ec3;
                             });
          });
      });
    context.run();
    if (failed) {
      return {};
    }
    return { static_cast<int>(response.result_int()), response.body() };
  } catch (const std::exception&) {
    return {};
  }
}

struct EntryOptions
{
  std::string mName;
  std::string mZone = "zone-a";
  std::string mIp;
  std::string mStore;
  double mCpuShare = 0.25;
  /** platform.writesPerS of the settings. */
  int mWritesPerS = 600;
};

/** An entry of the project, as a process of its own. */
class Entry
{
public:
  Entry(std::string aFolder, EntryOptions aOptions)
    : mFolder(std::move(aFolder))
    , mOptions(std::move(aOptions))
    , mHttp(FreePort(mOptions.mIp))
    , mReadiness(FreePort(mOptions.mIp))
    , mPeers(FreePort(mOptions.mIp))
    , mMetrics(FreePort(mOptions.mIp))
  {
  }
  ~Entry() { Kill(); }
  auto Name() const -> const std::string& { return mOptions.mName; }
  /** The settings that the next process gets. */
  auto Options() -> EntryOptions& { return mOptions; }
  auto IsRunning() const -> bool { return mPid > 0; }
  /** Ends the process as the platform does: SIGTERM, then SIGKILL after
   * gracePeriodS. */
  auto Terminate() -> void
  {
    Signal(SIGTERM);
    WaitUntil(
      [this] { return mPid <= 0 || ::waitpid(mPid, nullptr, WNOHANG) == mPid; },
      6000);
    Kill();
  }
  auto Start() -> void
  {
    const auto at = [&](std::uint16_t aPort) {
      return mOptions.mIp + ":" + std::to_string(aPort);
    };
    const auto path = mFolder + "/" + mOptions.mName + ".ini";
    std::ofstream out(path);
    out
      << "[entry]\nname = " << mOptions.mName
      << "\nfailure_domain = " << mOptions.mZone
      << "\ncpu_share = " << mOptions.mCpuShare
      << "\n\n[listen]\nhttp = " << at(mHttp)
      << "\nreadiness = " << at(mReadiness) << "\npeers = " << at(mPeers)
      << "\nmetrics = " << at(mMetrics)
      << "\n\n[platform]\nstore = " << mOptions.mStore
      << "\nstore_writes_per_s = " << mOptions.mWritesPerS
      << "\nstore_part_writes_per_s = 150\n\n"
         "[bounds]\nlease_ms = 6000\nearly_ms = 250\nharm_ms = 4000\n"
         "grace_s = 6\ndrain_ms = 2000\ncapacity_ms = 3000\nstatus_s = 120\n\n"
         "[submission]\nsettle_ms = 700\n\n[admission]\nenabled = 1\n\n"
         "[placement]\nlook_ahead = 1\noverflow = 0\nduplicates = 0\n"
         "checkpoint_s = 1\nrestore_ms = 250\n";
    out.close();
    const char* program = std::getenv("EELGRASSPOST");
    const std::string binary =
      program ? program : "target/src/app/eelgrasspost";
    const auto log = mFolder + "/" + mOptions.mName + ".log";
    gRecord.Add("%s: started", mOptions.mName.c_str());
    mPid = ::fork();
    if (mPid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = ::open(log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      ::execl(binary.c_str(),
              binary.c_str(),
              "dispatch",
              "--settings",
              path.c_str(),
              static_cast<char*>(nullptr));
      ::_exit(127);
    }
  }
  auto Signal(int aSignal) -> void
  {
    gRecord.Add("%s: signal %d", mOptions.mName.c_str(), aSignal);
    if (mPid > 0) {
      ::kill(mPid, aSignal);
    }
  }
  auto Kill() -> void
  {
    if (mPid > 0) {
      ::kill(mPid, SIGKILL);
      ::waitpid(mPid, nullptr, 0);
      mPid = -1;
    }
  }
  /** Whether the process has ended by itself; its status is recorded. */
  auto HasExited() -> bool
  {
    int status = 0;
    if (mPid > 0 && ::waitpid(mPid, &status, WNOHANG) == mPid) {
      gRecord.Add("%s: ended by itself, status %d, signal %d",
                  mOptions.mName.c_str(),
                  WIFEXITED(status) ? WEXITSTATUS(status) : -1,
                  WIFSIGNALED(status) ? WTERMSIG(status) : 0);
      mPid = -1;
      mHasExited = true;
    }
    return mHasExited;
  }
  auto Send(const std::string& aMethod,
            const std::string& aHost,
            const std::string& aTarget,
            const std::string& aBody = {},
            std::int64_t aTimeoutMs = 3000) -> Answer
  {
    auto out =
      Call(mOptions.mIp, mHttp, aMethod, aHost, aTarget, aBody, aTimeoutMs);
    gRecord.Add("client: %s %s%s at %s -> %d %s",
                aMethod.c_str(),
                aHost.c_str(),
                aTarget.c_str(),
                mOptions.mName.c_str(),
                out.mStatus,
                out.mBody.substr(0, 80).c_str());
    return out;
  }
  auto IsReady() -> bool
  {
    return Call(mOptions.mIp, mReadiness, "GET", "x", "/readiness", "", 1000)
             .mStatus == 200;
  }
  auto Metrics() -> std::string
  {
    return Call(mOptions.mIp, mMetrics, "GET", "x", "/metrics", "", 1000).mBody;
  }

private:
  std::string mFolder;
  EntryOptions mOptions;
  std::uint16_t mHttp, mReadiness, mPeers, mMetrics;
  pid_t mPid = -1;
  bool mHasExited = false;
};

/** A route of the operator's configuration. */
inline auto Route(const std::string& aName,
                  const std::string& aHost,
                  const std::string& aPrefix,
                  int aPriority,
                  int aMaxAttempts,
                  double aStretch,
                  std::int64_t aTargetMs) -> json::object
{
  return { { "name", aName },         { "host", aHost },
           { "prefix", aPrefix },     { "backend", "service" },
           { "priority", aPriority }, { "maxAttempts", aMaxAttempts },
           { "stretch", aStretch },   { "targetDurationMs", aTargetMs },
           { "timeoutMs", 3000 } };
}
inline auto PutConfiguration(Store& aStore, int aVersion, json::array aRoutes)
  -> void
{
  json::object out{
    { "version", aVersion },
    { "routes", std::move(aRoutes) },
    { "services",
      json::array{
        json::object{ { "name", "service" }, { "rejectsOverload", false } } } },
    { "limits", json::object{ { "maxBodyBytes", 262144 } } }
  };
  aStore.Put("op", "config", json::serialize(out));
}

inline auto JobId(std::uint64_t aSeries, std::uint64_t aNumber) -> std::string
{
  char out[40];
  std::snprintf(out,
                sizeof(out),
                "%08llx%08llx",
                static_cast<unsigned long long>(aSeries),
                static_cast<unsigned long long>(aNumber));
  return out;
}

inline auto HasTrouble() -> bool
{
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

/** One step of a job. */
struct Step
{
  int mCount = 1;
  int mCpu = 500;
  int mMemMb = 64;
  int mEstimatedMs = 300;
  std::vector<int> mAfter = {};
  bool mCheckpointing = false;
  bool mGang = false;
  bool mFills = false;
  std::string mLabel = {};
};

/** aSpec: how long a task runs, in ms, and "saves" if it checkpoints. */
inline auto JobBody(const std::string& aSpec, const std::vector<Step>& aSteps)
  -> std::string
{
  json::array steps;
  for (const auto& it : aSteps) {
    json::object step{ { "count", it.mCount },
                       { "cpu", it.mCpu },
                       { "memMb", it.mMemMb },
                       { "estimatedMs", it.mEstimatedMs } };
    if (!it.mAfter.empty()) {
      step["after"] = json::value_from(it.mAfter);
    }
    if (it.mCheckpointing) {
      step["checkpointing"] = true;
    }
    if (it.mGang) {
      step["gang"] = true;
    }
    if (it.mFills) {
      step["fills"] = true;
    }
    if (!it.mLabel.empty()) {
      step["requiredLabel"] = it.mLabel;
    }
    steps.push_back(std::move(step));
  }
  return json::serialize(
    json::object{ { "spec", aSpec }, { "steps", std::move(steps) } });
}

/** A folder for logs and settings; it is removed at the end unless KEEP is
 * set. */
class Folder
{
public:
  Folder()
    : mPath(
        (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string())
  {
    if (!::mkdtemp(mPath.data())) {
      std::exit(2);
    }
  }
  ~Folder()
  {
    if (!std::getenv("KEEP")) {
      std::error_code ec;
      std::filesystem::remove_all(mPath, ec);
    }
  }
  auto Path() const -> const std::string& { return mPath; }

private:
  std::string mPath;
};

/** A small deployment in one zone. */
struct Deployment
{
  Deployment(int aEntries, int aWorkers, WorkerOptions aOptions = {})
  {
    // Cases that run at the same time use different addresses.
    const auto net = "127." + std::to_string(100 + ::getpid() / 200 % 100) +
                     "." + std::to_string(::getpid() % 200) + ".";
    mStoreAddress = mStore.Start(net + "1");
    for (int i = 0; i < aWorkers; ++i) {
      auto options = aOptions;
      options.mId = "worker-" + std::to_string(i);
      options.mIp = net + "2";
      options.mLabel = i == 0 ? "b" : "a";
      mWorkers.push_back(std::make_unique<Worker>(mStore, options));
    }
    for (int i = 0; i < aEntries; ++i) {
      EntryOptions options;
      options.mName = "entry-" + std::to_string(i);
      options.mIp = net + std::to_string(10 + i);
      options.mStore = mStoreAddress;
      mEntries.push_back(std::make_unique<Entry>(mFolder.Path(), options));
    }
  }
  ~Deployment()
  {
    mEntries.clear();
    mWorkers.clear();
  }
  /** Starts the entries; a case that can't run ends with 2. */
  auto Start() -> void
  {
    for (auto& it : mEntries) {
      it->Start();
    }
    const auto areReady = [this] {
      return std::all_of(mEntries.begin(),
                         mEntries.end(),
                         [](const auto& aEntry) { return aEntry->IsReady(); });
    };
    if (!WaitUntil(areReady, 20000)) {
      gRecord.Add("the entries didn't become ready");
      std::exit(2);
    }
    gRecord.Add("all entries are ready");
  }

  Folder mFolder;
  Store mStore;
  std::string mStoreAddress;
  std::vector<std::unique_ptr<Worker>> mWorkers;
  std::vector<std::unique_ptr<Entry>> mEntries;
};

/** Ends a case: prints and records the verdict. */
inline auto Finish(bool aIsBroken, const std::string& aText) -> int
{
  gRecord.Add("%s: %s", aIsBroken ? "BROKEN" : "held", aText.c_str());
  std::printf("%s: %s\n", aIsBroken ? "BROKEN" : "held", aText.c_str());
  return aIsBroken ? 1 : 0;
}

} // namespace rig

#include "cluster.h"

#include <filesystem>
#include <fstream>
#include <set>
#include <stdexcept>

#include "eelgrasspost/base/text.h"

namespace eelgrasspost::harness {

namespace {

/** Finds "NAME=IP:PORT" in the line that a process prints when it listens. */
auto ParseAddressOf(const std::string& aLine, const std::string& aName)
  -> net::Address
{
  for (const auto& it : base::Split(aLine, ' ')) {
    if (it.starts_with(aName + "=")) {
      return net::ParseAddress(it.substr(aName.size() + 1)).value();
    }
  }
  throw std::runtime_error("no address of " + aName + " in the line '" + aLine +
                           "'");
}

auto DomainName(int aIndex) -> std::string
{
  return base::Cat("domain-", aIndex + 1);
}

} // namespace

Cluster::Cluster(ClusterOptions aOptions)
  : mOptions(std::move(aOptions))
{
  auto pattern =
    (std::filesystem::temp_directory_path() / "eelgrasspost-XXXXXX").string();
  mFolder = mkdtemp(pattern.data());
  StartPlatform();
  StartWorkers();
  RegisterEntries();
  PublishVmList();
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    StartEntry(i);
  }
}

Cluster::~Cluster()
{
  mEntries.clear();
  std::error_code ec;
  if (std::getenv("EELGRASSPOST_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(mFolder, ec);
  }
}

auto Cluster::StartPlatform() -> void
{
  const auto log = mFolder + "/standin.log";
  mProxy = std::make_unique<ChildProcess>(
    EELGRASSPOST_STANDIN, std::vector<std::string>{ "proxy" }, log);
  mProxyControl = ParseAddressOf(mProxy->ReadLine(), "proxy");
  mPlatform = std::make_unique<ChildProcess>(
    EELGRASSPOST_STANDIN, std::vector<std::string>{ "platform" }, log);
  mPlatformDirect = ParseAddressOf(mPlatform->ReadLine(), "platform");
  mPlatformProxied = AddLink("platform", mPlatformDirect);
}

auto Cluster::StartWorkers() -> void
{
  const auto count = mOptions.mWorkers > 0
                       ? mOptions.mWorkers
                       : mOptions.mDomains * mOptions.mWorkersPerDomain;
  mWorkerHost = std::make_unique<ChildProcess>(
    EELGRASSPOST_STANDIN,
    std::vector<std::string>{ "worker", "--count", base::Cat(count) },
    mFolder + "/standin.log");
  for (int i = 0; i < count; ++i) {
    WorkerNode worker;
    worker.mId = base::Cat("worker-", i + 1);
    worker.mDomain = DomainName(i % mOptions.mDomains);
    worker.mDirect = ParseAddressOf(mWorkerHost->ReadLine(), worker.mId);
    worker.mProxied = mOptions.mDirectWorkers
                        ? worker.mDirect
                        : AddLink(worker.mId, worker.mDirect);
    json::object vm;
    vm["id"] = worker.mId;
    vm["kind"] = "worker";
    vm["failure_domain"] = worker.mDomain;
    vm["rack"] = base::Cat("rack-", i / 8 + 1);
    vm["control"] = net::ToString(worker.mProxied);
    vm["slots"] = mOptions.mSlots;
    vm["cpu_millis"] = 16000;
    vm["memory_mb"] = 60000;
    mVms.push_back(std::move(vm));
    mWorkers.push_back(std::move(worker));
  }
}

auto Cluster::RegisterEntries() -> void
{
  const auto count = mOptions.mEntries > 0
                       ? mOptions.mEntries
                       : mOptions.mDomains * mOptions.mEntriesPerDomain;
  for (int i = 0; i < count; ++i) {
    EntryNode entry;
    entry.mId = base::Cat("entry-", i + 1);
    entry.mDomain = DomainName(i % mOptions.mDomains);
    entry.mIp = base::Cat("127.0.1.", i + 1);
    entry.mAdvertised = AddLink(entry.mId, { "127.0.0.1", 1 });
    json::object vm;
    vm["id"] = entry.mId;
    vm["kind"] = "entry";
    vm["failure_domain"] = entry.mDomain;
    vm["control"] = net::ToString(entry.mAdvertised);
    mVms.push_back(std::move(vm));
    mEntries.push_back(std::move(entry));
  }
}

auto Cluster::AddLink(const std::string& aName, const net::Address& aUpstream)
  -> net::Address
{
  json::object body;
  body["name"] = aName;
  body["upstream"] = net::ToString(aUpstream);
  const auto response = mHttp.Post(mProxyControl, "/link", body);
  return net::ParseAddress(base::TextField(response, "listen")).value();
}

auto Cluster::PublishVmList() -> void
{
  json::array vms;
  for (const auto& it : mVms) {
    vms.push_back(it);
  }
  json::object body;
  body["vms"] = std::move(vms);
  mHttp.Post(mPlatformDirect, "/vms/set", body);
}

auto Cluster::SetVmState(const std::string& aId, const std::string& aState)
  -> void
{
  for (auto& it : mVms) {
    if (base::TextField(it, "id") == aId) {
      it["state"] = aState;
    }
  }
  PublishVmList();
}

auto Cluster::WriteSettings(const EntryNode& aEntry) -> std::string
{
  auto path = mFolder + "/" + aEntry.mId + ".ini";
  const auto platform = net::ToString(mPlatformProxied);
  std::vector<std::string> seeds;
  for (const auto& it : mEntries) {
    if (it.mId != aEntry.mId) {
      seeds.push_back(net::ToString(it.mAdvertised));
    }
  }
  auto out = std::ofstream(path);
  out << "[entry]\nid = " << aEntry.mId << "\nregion = test\n"
      << "failure_domain = " << aEntry.mDomain << "\n[listen]\n"
      << "http = 127.0.0.1:0\ncontrol = " << aEntry.mIp << ":0\n"
      << "advertise = " << net::ToString(aEntry.mAdvertised) << "\n"
      << "bind_ip = " << aEntry.mIp << "\n[platform]\ntable = " << platform
      << "\nobject_store = " << platform << "\nvm_list = " << platform
      << "\n[peers]\nseeds = " << base::Join(seeds, ",") << "\n"
      << mOptions.mExtraSettings;
  return path;
}

auto Cluster::StartEntry(std::size_t aIndex) -> void
{
  auto& entry = mEntries[aIndex];
  const auto settings = WriteSettings(entry);
  entry.mProcess = std::make_unique<ChildProcess>(
    EELGRASSPOST_PROGRAM,
    std::vector<std::string>{ "serve", "--settings", settings },
    mFolder + "/" + entry.mId + ".log");
  const auto line = entry.mProcess->ReadLine();
  entry.mHttp = ParseAddressOf(line, "http");
  json::object body;
  body["name"] = entry.mId;
  body["upstream"] = net::ToString(ParseAddressOf(line, "control"));
  mHttp.Post(mProxyControl, "/upstream", body);
}

auto Cluster::InjectFault(const std::string& aLink, json::object aFault) -> void
{
  aFault["name"] = aLink;
  mHttp.Post(mProxyControl, "/fault", aFault);
}

auto Cluster::ClearFault(const std::string& aLink, const std::string& aFrom)
  -> void
{
  json::object noFault;
  noFault["from"] = aFrom;
  InjectFault(aLink, std::move(noFault));
}

auto Cluster::SetPlatformFaults(const json::object& aFault) -> void
{
  mHttp.Post(mPlatformDirect, "/faults", aFault);
}

auto Cluster::MakeServiceNote(const std::string& aService, bool aIdempotent)
  -> json::object
{
  json::array endpoints;
  for (const auto& it : mWorkers) {
    json::object endpoint;
    endpoint["worker"] = it.mId;
    endpoint["address"] = net::ToString(it.mProxied);
    endpoints.push_back(std::move(endpoint));
  }
  json::object service;
  service["name"] = aService;
  service["idempotent"] = aIdempotent;
  service["endpoints"] = std::move(endpoints);
  json::array added;
  added.push_back(std::move(service));
  json::object services;
  services["add"] = std::move(added);
  json::object note;
  note["base"] = 0;
  note["services"] = std::move(services);
  return note;
}

auto Cluster::ApplyNote(const json::object& aNote) -> void
{
  const auto response = mHttp.Post(mEntries[0].mHttp, "/release-notes", aNote);
  const auto revision = base::NumberField(response, "revision", -1);
  if (revision < 0) {
    throw std::runtime_error("release note rejected: " +
                             base::ToText(response));
  }
  const auto isApplied = [&] {
    for (std::size_t i = 0; i < mEntries.size(); ++i) {
      if (base::NumberField(Status(i), "revision") < revision) {
        return false;
      }
    }
    return true;
  };
  if (!WaitUntil(isApplied, base::Milliseconds(10000))) {
    throw std::runtime_error("some entries have not applied the release note");
  }
}

auto Cluster::Status(std::size_t aIndex) -> json::object
{
  const auto exchange = mHttp.Get(mEntries[aIndex].mHttp, "/status");
  return exchange.mStatus.ok() ? base::ParseObject(exchange.mResponse.mBody)
                                   .value_or(json::object())
                               : json::object();
}

auto Cluster::WaitForOwners(base::Milliseconds aTimeout) -> bool
{
  const auto allOwned = [&] {
    std::set<std::string> owned;
    for (std::size_t i = 0; i < mEntries.size(); ++i) {
      const auto status = Status(i);
      const auto* workers = base::ArrayField(status, "owned_workers");
      for (std::size_t n = 0; workers != nullptr && n < workers->size(); ++n) {
        owned.insert(base::TextField((*workers)[n].get_object(), "worker"));
      }
    }
    return owned.size() == mWorkers.size();
  };
  return WaitUntil(allOwned, aTimeout);
}

auto Cluster::CallService(std::size_t aEntry,
                          const std::string& aTarget,
                          std::vector<net::HttpField> aFields,
                          const std::string& aBody) -> net::HttpExchange
{
  auto request = net::HttpRequest();
  request.mMethod = aBody.empty() ? "GET" : "POST";
  request.mTarget = "/services/" + aTarget;
  request.mFields = std::move(aFields);
  request.mBody = aBody;
  return mHttp.Exchange(mEntries[aEntry].mHttp, request);
}

auto Cluster::SetWorkerFaults(std::size_t aWorker, const json::object& aFault)
  -> void
{
  mHttp.Post(mWorkers[aWorker].mDirect, "/faults", aFault);
}

auto Cluster::ReadCounter(std::size_t aEntry, const std::string& aName)
  -> std::int64_t
{
  const auto page = mHttp.Get(mEntries[aEntry].mHttp, "/metrics");
  std::int64_t sum = 0;
  for (const auto& it : base::Split(page.mResponse.mBody, '\n')) {
    if (it.starts_with(base::Cat("eelgrasspost_", aName, "{"))) {
      sum += base::ParseNumber(it.substr(it.rfind(' ') + 1)).value_or(0);
    }
  }
  return sum;
}

auto Cluster::ReadObservation(std::size_t aWorker) -> json::object
{
  return mHttp.Post(mWorkers[aWorker].mDirect, "/observed", {});
}

} // namespace eelgrasspost::harness

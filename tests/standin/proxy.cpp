#include <iostream>
#include <map>

#include "proxylink.h"

namespace eelgrasspost::standin {

namespace {

using Links = std::map<std::string, ProxyLinkPtr>;

auto AddLink(net::IoPool& aPool, Links& aLinks, const json::object& aBody)
  -> net::HttpResponse
{
  auto link = std::make_shared<ProxyLink>();
  link->mName = base::TextField(aBody, "name");
  link->mListen =
    net::ParseAddress(base::TextField(aBody, "listen", "127.0.0.1:0")).value();
  link->mUpstream =
    net::ParseAddress(base::TextField(aBody, "upstream", "127.0.0.1:1"))
      .value();
  StartLink(aPool, link);
  aLinks[link->mName] = link;
  json::object out;
  out["listen"] = net::ToString(link->mListen);
  return MakeResponse(200, out);
}

auto SetUpstream(ProxyLink& aLink, const json::object& aBody)
  -> net::HttpResponse
{
  aLink.mUpstream =
    net::ParseAddress(base::TextField(aBody, "upstream")).value();
  return MakeResponse(200, {});
}

auto SetFault(ProxyLink& aLink, const json::object& aBody) -> net::HttpResponse
{
  LinkFault fault;
  fault.mFrom = base::TextField(aBody, "from", "*");
  fault.mBlocksToUpstream = base::BoolField(aBody, "cut_to");
  fault.mBlocksToClient = base::BoolField(aBody, "cut_back");
  fault.mRefusesConnections = base::BoolField(aBody, "refuse");
  fault.mDelayMs = base::NumberField(aBody, "delay_ms");
  fault.mDelayUs = base::NumberField(aBody, "delay_us");
  fault.mCloseAfterBytesToClient =
    base::NumberField(aBody, "close_after_back", -1);
  fault.mDropPercent = base::NumberField(aBody, "drop_percent");
  fault.mDuplicatePercent = base::NumberField(aBody, "duplicate_percent");
  aLink.SetFault(fault);
  return MakeResponse(200, {});
}

auto HandleRequest(net::IoPool& aPool, Links& aLinks, net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>
{
  const auto body = *base::ParseObject(aRequest.mBody);
  if (aRequest.mTarget == "/link") {
    co_return AddLink(aPool, aLinks, body);
  }
  const auto it = aLinks.find(base::TextField(body, "name"));
  if (it == aLinks.end()) {
    co_return MakeErrorResponse(404, "no such link");
  }
  if (aRequest.mTarget == "/upstream") {
    co_return SetUpstream(*it->second, body);
  }
  co_return SetFault(*it->second, body);
}

} // namespace

auto RunProxy(net::IoPool& aPool, const StandinOptions& aOptions) -> void
{
  static Links links;
  static auto server =
    net::HttpServer(aPool, {}, [&aPool](net::HttpRequest aRequest) {
      return HandleRequest(aPool, links, std::move(aRequest));
    });
  const auto address = server.Listen(aOptions.mListen).value();
  std::cout << "listening proxy=" << net::ToString(address) << std::endl;
}

} // namespace eelgrasspost::standin

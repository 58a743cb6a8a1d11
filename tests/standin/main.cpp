#include <iostream>

#include <cxxopts.hpp>

#include "standin.h"

namespace {

using namespace eelgrasspost;

auto ParseOptions(const cxxopts::ParseResult& aParsed)
  -> standin::StandinOptions
{
  standin::StandinOptions out;
  out.mListen = net::ParseAddress(aParsed["listen"].as<std::string>()).value();
  out.mCount = aParsed["count"].as<int>();
  out.mPrefix = aParsed["prefix"].as<std::string>();
  out.mSlots = aParsed["slots"].as<int>();
  return out;
}

} // namespace

auto main(int aCount, char** aArguments) -> int
{
  auto options = cxxopts::Options("eelgrasspost-standin");
  options.add_options()(
    "role", "platform, worker or proxy", cxxopts::value<std::string>())(
    "listen", "", cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
    "count", "", cxxopts::value<int>()->default_value("1"))(
    "prefix", "", cxxopts::value<std::string>()->default_value("worker-"))(
    "slots", "", cxxopts::value<int>()->default_value("8"));
  options.parse_positional({ "role" });
  const auto parsed = options.parse(aCount, aArguments);
  const auto role = parsed["role"].as<std::string>();
  const auto standinOptions = ParseOptions(parsed);
  net::IoPool pool(1);
  if (role == "platform") {
    standin::RunPlatform(pool, standinOptions);
  } else if (role == "worker") {
    standin::RunWorkers(pool, standinOptions);
  } else if (role == "proxy") {
    standin::RunProxy(pool, standinOptions);
  } else {
    std::cerr << "the role must be platform, worker or proxy\n";
    return 2;
  }
  pool.Run();
  return 0;
}

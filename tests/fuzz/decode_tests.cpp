// Feeds mutated bytes to every decoder, which must not crash, hang or allocate
// more than the input can describe. The corpus and the seed are fixed; memory
// errors are found by building with sanitizers.

#define BOOST_TEST_MODULE fuzz
#include <boost/test/unit_test.hpp>

#include <functional>
#include <random>

#include "eelgrasspost/base/settings.h"
#include "eelgrasspost/batch/jobcodec.h"
#include "eelgrasspost/net/codec.h"
#include "eelgrasspost/releasenote/notecodec.h"
#include "internal/forward.h"
#include "internal/memberlist.h"

namespace {

using namespace eelgrasspost;
using Random = std::mt19937;

constexpr unsigned kSeed = 20;
constexpr int kMutations = 3000;
constexpr int kMaxEdits = 6;

/** One decoder and a valid input to start from. */
struct FuzzCase
{
  std::string mName;
  std::string mValid;
  std::function<bool(const std::string&)> mDecode;
};

template<typename Message>
auto MakeMessageCase(const std::string& aName, const Message& aMessage)
  -> FuzzCase
{
  return { aName, net::Encode(aMessage), [](const std::string& aBytes) {
            return net::Decode<Message>(aBytes).ok();
          } };
}

auto MakeForward() -> routing::ForwardRequest
{
  routing::ServiceRequest request;
  request.mService = "quotes";
  request.mRequestId = "r1";
  request.mMethod = "POST";
  request.mTarget = "/site?plaza=3";
  request.mFields = { { "Accept", "text/plain" }, { "X", "y" } };
  request.mBody = std::string(200, 'b');
  return routing::ToForwardRequest(request, "entry-1-7-1");
}

auto MakeReply() -> routing::ForwardReply
{
  routing::ServiceOutcome outcome;
  outcome.mOutcome = routing::Outcome::Answered;
  outcome.mResponse = { 200, { { "A", "b" } }, "answer" };
  return routing::ToForwardReply(std::move(outcome), "entry-1-7-1");
}

auto MakeHeartbeat() -> membership::Heartbeat
{
  membership::Heartbeat out;
  out.mSender.mIdentity.mId = "entry-1";
  out.mFullMembers.resize(3);
  out.mLeavingWorkers.resize(1);
  return out;
}

auto MakeCases() -> std::vector<FuzzCase>
{
  std::vector<FuzzCase> out;
  out.push_back(MakeMessageCase("forward request", MakeForward()));
  out.push_back(MakeMessageCase("forward reply", MakeReply()));
  out.push_back(MakeMessageCase("heartbeat", MakeHeartbeat()));
  out.push_back({ "release note",
                  R"({"base": 1, "services": {"add": [{"name": "quotes",
                   "idempotent": true, "endpoints": [{"worker": "w1",
                   "address": "127.0.0.1:80"}]}], "withdraw": ["x"]},
                   "teams": {"add": [{"name": "lab", "cpu_millis": 5}]}})",
                  [](const std::string& aText) {
                    return releasenote::ParseNote(aText).ok();
                  } });
  out.push_back(
    { "job",
      R"({"id": "j", "team": "lab", "tasks": 3, "cpu_millis": 1,
                   "memory_mb": 1, "command": "run_ms=1"})",
      [](const std::string& aText) { return batch::ParseJob(aText).ok(); } });
  out.push_back({ "settings",
                  "[a]\nb = c\nd = 127.0.0.1:1\n; comment\n[e]\nf = 1\n",
                  [](const std::string& aText) {
                    return base::ReadSettings(aText, "x.ini", {}).ok();
                  } });
  return out;
}

auto Mutate(std::string aBytes, Random& aRandom) -> std::string
{
  const auto edits = aRandom() % kMaxEdits + 1;
  for (unsigned i = 0; i < edits && !aBytes.empty(); ++i) {
    const auto at = aRandom() % aBytes.size();
    switch (aRandom() % 4) {
      case 0:
        aBytes[at] = static_cast<char>(aRandom());
        break;
      case 1:
        aBytes.resize(at);
        break;
      case 2:
        aBytes.insert(at, aRandom() % 16, static_cast<char>(aRandom()));
        break;
      default:
        aBytes.replace(at, 8, 8, static_cast<char>(0xFF));
        break;
    }
  }
  return aBytes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fuzz)

BOOST_AUTO_TEST_CASE(decoder_valid_input_is_accepted_except_unknown_settings)
{
  for (const auto& it : MakeCases()) {
    const auto isExpected = it.mName != "settings";
    BOOST_TEST_INFO(it.mName);
    BOOST_TEST(it.mDecode(it.mValid) == isExpected);
  }
}

BOOST_AUTO_TEST_CASE(decoder_mutated_bytes_never_crash)
{
  for (const auto& it : MakeCases()) {
    Random random(kSeed);
    int accepted = 0;
    for (int i = 0; i < kMutations; ++i) {
      accepted += it.mDecode(Mutate(it.mValid, random)) ? 1 : 0;
    }
    BOOST_TEST_MESSAGE(it.mName << ": " << accepted << " of " << kMutations
                                << " mutations were accepted");
    BOOST_TEST(accepted < kMutations);
  }
}

BOOST_AUTO_TEST_SUITE_END()

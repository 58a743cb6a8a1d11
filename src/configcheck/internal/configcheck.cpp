#include "eelgrasspost/configcheck/configcheck.h"

#include <algorithm>
#include <cctype>
#include <map>

#include "eelgrasspost/base/text.h"

namespace eelgrasspost::configcheck {

namespace {

using base::Cat;
using cell::Queue;
using dispatch::Configuration;

/** Largest payload that a job may have, in bytes. */
constexpr std::uint64_t kMaxPayloadBytes = 4000;

class Findings
{
public:
  auto Add(FindingKind aKind, const std::string& aSubject, std::string aText)
    -> void
  {
    mFindings.push_back({ aKind, aSubject, std::move(aText) });
  }
  auto Take() -> std::vector<Finding> { return std::move(mFindings); }

private:
  std::vector<Finding> mFindings;
};

auto CheckValues(const Queue& aQueue, Findings& aOut) -> void
{
  const auto error = [&](std::string aText) {
    aOut.Add(FindingKind::Error, aQueue.mName, std::move(aText));
  };
  if (aQueue.mName.empty()) {
    error("a queue has no name; give it one");
  }
  if (aQueue.mHost.empty()) {
    error("it has no host; add the name under which callers reach it");
  }
  if (aQueue.mService.empty()) {
    error("it names no service; add the one whose workers run its tasks");
  }
  if (aQueue.mMaxAttempts < 1) {
    error(Cat("a task may run ",
              aQueue.mMaxAttempts,
              " times; allow at least one attempt"));
  }
  if (aQueue.mPriority < 0) {
    error(Cat("the priority ", aQueue.mPriority, " is negative; 0 is highest"));
  }
  if (aQueue.mTimeoutMs <= 0) {
    error("it has no time-out; set how long callers wait for a response");
  }
  if (aQueue.mExtraMs < 0 || aQueue.mStretch <= 0) {
    error(
      "its objective is not positive; correct the stretch and the addition");
  }
}

auto CheckMatches(const Queue& aQueue, Findings& aOut) -> void
{
  const auto add = [&](std::string aText) {
    aOut.Add(FindingKind::NeverMatches, aQueue.mName, std::move(aText));
  };
  if (!aQueue.mPathPrefix.starts_with('/')) {
    add(Cat("paths begin with '/', the prefix '",
            aQueue.mPathPrefix,
            "' does not; add it"));
  }
  if (aQueue.mHost.find(':') != std::string::npos) {
    add(Cat("the port of a request's host is ignored; remove it from '",
            aQueue.mHost,
            "'"));
  }
  if (aQueue.mPathPrefix.find_first_of("?#") != std::string::npos) {
    add("the prefix holds a query; only paths are compared");
  }
}

auto CheckContradictions(const Queue& aQueue, Findings& aOut) -> void
{
  const auto add = [&](std::string aText) {
    aOut.Add(FindingKind::Contradiction, aQueue.mName, std::move(aText));
  };
  if (aQueue.mStretch > 0 && aQueue.mStretch < 1) {
    add(Cat("with the stretch ",
            aQueue.mStretch,
            ", jobs of more than ",
            static_cast<std::int64_t>(static_cast<double>(aQueue.mExtraMs) /
                                      (1 - aQueue.mStretch)),
            " ms cannot meet their objective; a stretch is at least 1"));
  }
  const auto& advice = aQueue.mAdvice;
  if (advice && advice->mValidMs <= advice->mDecideMs + advice->mPerWorkerMs) {
    add(Cat("advice is valid for ",
            advice->mValidMs,
            " ms, but takes ",
            advice->mDecideMs + advice->mPerWorkerMs,
            " ms or more; extend its validity"));
  }
}

/** Queues that are hidden by others with the same host and prefix. */
auto CheckHidden(const Configuration& aConfiguration, Findings& aOut) -> void
{
  std::map<std::pair<std::string, std::string>, const Queue*> seen;
  for (const auto& it : aConfiguration.mQueues) {
    auto host = it.mHost;
    std::transform(
      host.begin(), host.end(), host.begin(), [](unsigned char aChar) {
        return static_cast<char>(std::tolower(aChar));
      });
    const auto [first, isNew] =
      seen.emplace(std::pair(host, it.mPathPrefix), &it);
    if (!isNew) {
      aOut.Add(FindingKind::NeverMatches,
               it.mName,
               Cat("the queue '",
                   first->second->mName,
                   "' has the same host and prefix and comes first; change one "
                   "of them"));
    }
  }
}

auto CheckNames(const Configuration& aConfiguration, Findings& aOut) -> void
{
  std::map<std::string, std::size_t> names;
  for (const auto& it : aConfiguration.mQueues) {
    if (++names[it.mName] == 2) {
      aOut.Add(FindingKind::Error,
               it.mName,
               "several queues have this name; rename all but one");
    }
    const auto& services = aConfiguration.mServices;
    const auto isKnown =
      std::find(services.begin(), services.end(), it.mService) !=
      services.end();
    if (!it.mService.empty() && !isKnown) {
      aOut.Add(FindingKind::Error,
               it.mName,
               Cat("there is no service '",
                   it.mService,
                   "'; add it or name another one"));
    }
  }
}

auto CheckLimits(const Configuration& aConfiguration, Findings& aOut) -> void
{
  if (aConfiguration.mBodyLimit < kMaxPayloadBytes) {
    aOut.Add(FindingKind::Contradiction,
             "limits",
             Cat("bodies of ",
                 aConfiguration.mBodyLimit,
                 " bytes cannot hold a payload of ",
                 kMaxPayloadBytes,
                 "; raise the limit"));
  }
  if (aConfiguration.mQueues.empty()) {
    aOut.Add(FindingKind::Error,
             "queues",
             "there is none, so that every request is answered as unknown");
  }
}

auto FindQueue(const Configuration& aConfiguration, const std::string& aName)
  -> const Queue*
{
  const auto& queues = aConfiguration.mQueues;
  const auto it =
    std::find_if(queues.begin(), queues.end(), [&](const Queue& aQueue) {
      return aQueue.mName == aName;
    });
  return it == queues.end() ? nullptr : &*it;
}

template<typename T>
auto AddChange(std::vector<Change>& aOut,
               const std::string& aSubject,
               std::string_view aField,
               const T& aBefore,
               const T& aAfter) -> void
{
  if (aBefore != aAfter) {
    aOut.push_back({ ChangeKind::Changed,
                     aSubject,
                     Cat(aField, ": ", aBefore, " -> ", aAfter) });
  }
}

auto CompareQueues(const Queue& aBefore,
                   const Queue& aAfter,
                   std::vector<Change>& aOut) -> void
{
  const auto& name = aAfter.mName;
  AddChange(aOut, name, "host", aBefore.mHost, aAfter.mHost);
  AddChange(aOut, name, "prefix", aBefore.mPathPrefix, aAfter.mPathPrefix);
  AddChange(aOut, name, "service", aBefore.mService, aAfter.mService);
  AddChange(aOut, name, "priority", aBefore.mPriority, aAfter.mPriority);
  AddChange(aOut, name, "attempts", aBefore.mMaxAttempts, aAfter.mMaxAttempts);
  AddChange(aOut, name, "stretch", aBefore.mStretch, aAfter.mStretch);
  AddChange(aOut, name, "objective ms", aBefore.mExtraMs, aAfter.mExtraMs);
  AddChange(aOut, name, "time-out ms", aBefore.mTimeoutMs, aAfter.mTimeoutMs);
  const auto valid = [](const Queue& aQueue) {
    return aQueue.mAdvice ? aQueue.mAdvice->mValidMs : 0;
  };
  AddChange(aOut, name, "advice valid ms", valid(aBefore), valid(aAfter));
}

template<typename T>
auto RenderLines(const std::vector<T>& aRows,
                 const std::function<std::string_view(const T&)>& aKind)
  -> std::string
{
  std::string out;
  for (const auto& it : aRows) {
    base::Append(out, aKind(it), ": ", it.mSubject);
    if (!it.mText.empty()) {
      base::Append(out, ": ", it.mText);
    }
    out += '\n';
  }
  return out;
}

} // namespace

auto CheckConfiguration(const Configuration& aConfiguration)
  -> std::vector<Finding>
{
  Findings out;
  for (const auto& it : aConfiguration.mQueues) {
    CheckValues(it, out);
    CheckMatches(it, out);
    CheckContradictions(it, out);
  }
  CheckHidden(aConfiguration, out);
  CheckNames(aConfiguration, out);
  CheckLimits(aConfiguration, out);
  return out.Take();
}

auto CheckSuccession(const Configuration& aInForce, const Configuration& aNew)
  -> std::vector<Finding>
{
  if (aNew.mVersion > aInForce.mVersion) {
    return {};
  }
  return { { FindingKind::Error,
             "version",
             Cat("it is ",
                 aNew.mVersion,
                 ", and ",
                 aInForce.mVersion,
                 " is in force; entries ignore it unless it is higher") } };
}

auto CompareConfigurations(const Configuration& aInForce,
                           const Configuration& aNew) -> std::vector<Change>
{
  std::vector<Change> out;
  for (const auto& it : aInForce.mQueues) {
    if (!FindQueue(aNew, it.mName)) {
      out.push_back({ ChangeKind::Removed, it.mName, {} });
    }
  }
  for (const auto& it : aNew.mQueues) {
    if (const auto* before = FindQueue(aInForce, it.mName)) {
      CompareQueues(*before, it, out);
    } else {
      out.push_back({ ChangeKind::Added, it.mName, {} });
    }
  }
  AddChange(out, "limits", "body bytes", aInForce.mBodyLimit, aNew.mBodyLimit);
  return out;
}

auto Render(const std::vector<Finding>& aFindings) -> std::string
{
  return RenderLines<Finding>(aFindings, [](const Finding& aFinding) {
    return base::NameOf(kFindingKindNames, aFinding.mKind);
  });
}

auto Render(const std::vector<Change>& aChanges) -> std::string
{
  return RenderLines<Change>(aChanges, [](const Change& aChange) {
    return base::NameOf(kChangeKindNames, aChange.mKind);
  });
}

} // namespace eelgrasspost::configcheck

#pragma once

#include "entry.h"

namespace eelgrasspost::app {

/** What the operators' HTTP pages read and change. */
struct OperatorParts
{
  base::Metrics& mMetrics;
  membership::IMembership& mMembership;
  ownership::IOwnership& mOwnership;
  releasenote::IReleaseNotes& mNotes;
  batch::IJobs& mJobs;
  bool mStopping = false;
};

/** Answers an operator's request; 404 when the path is none of theirs. */
auto AnswerOperator(OperatorParts aParts, net::HttpRequest aRequest)
  -> net::Task<net::HttpResponse>;

/** Deadline of the calls that an operator's request leads to. */
auto CallDeadline() -> base::MonotonicTime;
auto JsonAnswer(unsigned aStatus, std::string aText) -> net::HttpResponse;
/** An answer with the error's kind and its message, which names the remedy. */
auto ErrorAnswer(const absl::Status& aStatus) -> net::HttpResponse;

} // namespace eelgrasspost::app

#include "releasenotes.h"

#include <functional>

#include <boost/asio/this_coro.hpp>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/releasenote/notecodec.h"
#include "eelgrasspost/releasenote/releasenoteerrors.h"
#include "eelgrasspost/releasenote/releasenotelogevents.h"

namespace eelgrasspost::releasenote {

namespace {

auto ElapsedSince(base::MonotonicTime aTime) -> base::Milliseconds
{
  return std::chrono::duration_cast<base::Milliseconds>(
    base::MonotonicClock::now() - aTime);
}

} // namespace

ReleaseNotes::ReleaseNotes(ReleaseNoteDependencies aDependencies,
                           ReleaseNoteOptions aOptions)
  : mDependencies(aDependencies)
  , mOptions(aOptions)
  , mAppliedAt(base::MonotonicClock::now())
  , mConfirmedAt(mAppliedAt)
  , mRandom(static_cast<std::uint32_t>(
      std::hash<std::string>()(aDependencies.mMembership.Self().mId)))
{
}

auto ReleaseNotes::CurrentState() const -> std::shared_ptr<const ReleaseState>
{
  return mCurrentState.Read();
}

auto ReleaseNotes::Revision() const -> std::uint64_t
{
  return mCache.Newest() ? mCache.Newest()->mRevision : 0;
}

auto ReleaseNotes::Status() const -> RevisionStatus
{
  return { mCache.Newest() != nullptr,
           Revision(),
           ElapsedSince(mAppliedAt),
           ElapsedSince(mConfirmedAt) };
}

auto ReleaseNotes::PublishNewest() -> void
{
  const auto& newest = mCache.Newest();
  const auto current = mCurrentState.Read();
  if (!newest || (current && current->mRevision >= newest->mRevision)) {
    return;
  }
  mCurrentState.Publish(newest);
  mAppliedAt = base::MonotonicClock::now();
  mDependencies.mMembership.SetRevision(newest->mRevision);
  mDependencies.mMetrics.FindGauge("note_revision")
    .Set(static_cast<std::int64_t>(newest->mRevision));
  base::Log(kRevisionApplied, base::Cat(newest->mRevision));
}

auto ReleaseNotes::AddRevision(std::string aText) -> absl::Status
{
  auto status = mCache.AddRevision(std::move(aText));
  if (!status.ok()) {
    base::Log(kStateRejected, base::MessageOf(status));
  }
  PublishNewest();
  return status;
}

auto ReleaseNotes::AddState(ReleaseState aState) -> void
{
  mCache.AddState(std::move(aState));
  PublishNewest();
}

auto ReleaseNotes::Plan(std::string aNoteText,
                        std::optional<std::uint64_t> aAgainst) const
  -> absl::StatusOr<NotePlan>
{
  const auto note = ParseNote(aNoteText);
  if (!note.ok()) {
    return note.status();
  }
  if (!mCache.Newest()) {
    return base::MakeError(kUnknownRevision,
                           "this entry has not loaded a revision yet");
  }
  const auto against = aAgainst.value_or(Revision());
  const auto state = mCache.StateAt(against);
  if (!state) {
    return base::MakeError(
      kUnknownRevision,
      base::Cat(
        "revision ",
        against,
        " is not among the recent ones that this entry keeps; the newest is ",
        Revision()));
  }
  auto changes = PlanNote(*state, *note);
  if (!changes.ok()) {
    return changes.status();
  }
  return NotePlan{ against, Revision(), *std::move(changes) };
}

auto ReleaseNotes::HandlePull(const PullRequest& aRequest) const -> PullReply
{
  return mCache.HandlePull(aRequest);
}

auto ReleaseNotes::Run() -> net::Task<void>
{
  net::SpawnTask(co_await net::asio::this_coro::executor, PullLoop());
  co_await PollLoop();
}

} // namespace eelgrasspost::releasenote

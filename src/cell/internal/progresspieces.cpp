#include "eelgrasspost/cell/progresspieces.h"

#include <algorithm>

#include "cellinternal.h"

namespace eelgrasspost::cell {

namespace {

constexpr std::uint32_t kBitsPerByte = 8;

/** Number of tasks of one occurrence. */
auto TasksPerOccurrence(const JobSpec& aSpec) -> std::uint64_t
{
  std::uint64_t out = 0;
  for (const auto& it : aSpec.mSteps) {
    out += it.mCount;
  }
  return out;
}

/** Number of the first task of a step. */
auto FirstNumberOf(const JobSpec& aSpec,
                   std::uint32_t aOccurrence,
                   std::uint32_t aStep) -> std::uint64_t
{
  auto out = aOccurrence * TasksPerOccurrence(aSpec);
  for (std::uint32_t i = 0; i < aStep; ++i) {
    out += aSpec.mSteps[i].mCount;
  }
  return out;
}

/** The tasks of one step that belong to a piece. */
struct PieceSection
{
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  /** Indexes within the step; the second one is excluded. */
  std::uint32_t mFrom = 0;
  std::uint32_t mTo = 0;
  /** Position of the first one in the piece. */
  std::uint64_t mOffset = 0;
};

auto SectionsOf(const StoredJob& aJob, std::uint64_t aPiece)
  -> std::vector<PieceSection>
{
  const auto& spec = aJob.mSpec;
  const auto perOccurrence = TasksPerOccurrence(spec);
  const auto perPiece = TasksPerPiece(aJob);
  const auto begin = aPiece * perPiece;
  const auto end =
    std::min(begin + perPiece, perOccurrence * OccurrenceCount(spec));
  std::vector<PieceSection> out;
  for (auto at = begin; at < end;) {
    const auto occurrence = static_cast<std::uint32_t>(at / perOccurrence);
    auto first = occurrence * perOccurrence;
    for (std::uint32_t i = 0; i < spec.mSteps.size() && at < end; ++i) {
      const auto next = first + spec.mSteps[i].mCount;
      if (at < next) {
        const auto to = std::min(next, end);
        out.push_back({ occurrence,
                        i,
                        static_cast<std::uint32_t>(at - first),
                        static_cast<std::uint32_t>(to - first),
                        at - begin });
        at = to;
      }
      first = next;
    }
  }
  return out;
}

auto HasBit(const std::string& aBits, std::uint64_t aIndex) -> bool
{
  const auto byte = aIndex / kBitsPerByte;
  return byte < aBits.size() &&
         ((static_cast<unsigned char>(aBits[byte]) >> (aIndex % kBitsPerByte)) &
          1U) != 0;
}

auto SetBit(std::string& aBits, std::uint64_t aIndex) -> void
{
  auto& byte = aBits[aIndex / kBitsPerByte];
  byte = static_cast<char>(static_cast<unsigned char>(byte) |
                           (1U << (aIndex % kBitsPerByte)));
}

auto BytesFor(std::uint64_t aBits) -> std::size_t
{
  return (aBits + kBitsPerByte - 1) / kBitsPerByte;
}

/** Done tasks of the steps of a job, by occurrence and step. */
class DoneTaskMap
{
public:
  explicit DoneTaskMap(const StoredJob& aJob)
    : mJob(aJob)
  {
  }

  /** aIsDone: whether the task at a position of the piece is done. */
  template<typename F>
  auto Add(std::uint64_t aPiece, F aIsDone) -> void
  {
    for (const auto& it : SectionsOf(mJob, aPiece)) {
      auto& bits = mBits[{ it.mOccurrence, it.mStep }];
      bits.resize(BytesFor(mJob.mSpec.mSteps[it.mStep].mCount));
      for (auto i = it.mFrom; i < it.mTo; ++i) {
        if (aIsDone(it.mOffset + i - it.mFrom)) {
          SetBit(bits, i);
        }
      }
    }
  }

  auto Take() -> std::vector<DoneTasks>
  {
    std::vector<DoneTasks> out;
    out.reserve(mBits.size());
    for (auto& [key, bits] : mBits) {
      out.push_back({ key.first, key.second, std::move(bits) });
    }
    return out;
  }

private:
  const StoredJob& mJob;
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::string> mBits;
};

/** Upper bound of the bytes of a task's progress in the store. */
auto BytesOf(const TaskProgress& aTask) -> std::size_t
{
  constexpr std::size_t kFixedBytes = 48;
  return kFixedBytes + sizeof(std::uint64_t) * aTask.mFailedAttempts.size() +
         aTask.mCheckpoint.size() + aTask.mHostCell.size();
}

} // namespace

auto TasksPerPiece(const StoredJob& aJob) -> std::uint64_t
{
  // Of a task up to mMaxAttempts failed attempts are stored.
  constexpr std::uint64_t kMaxTasks = 128;
  constexpr std::uint64_t kBytes = 24576;
  constexpr std::uint64_t kBytesPerTask = 64;
  const auto attempts = static_cast<std::uint64_t>(
    std::clamp<std::int64_t>(aJob.mQueue.mMaxAttempts, 1, kBytes));
  return std::clamp<std::uint64_t>(
    kBytes / (kBytesPerTask + sizeof(std::uint64_t) * attempts), 1, kMaxTasks);
}

auto CountPieces(const StoredJob& aJob) -> std::uint64_t
{
  const auto perPiece = TasksPerPiece(aJob);
  const auto tasks =
    TasksPerOccurrence(aJob.mSpec) * OccurrenceCount(aJob.mSpec);
  return (tasks + perPiece - 1) / perPiece;
}

auto PieceOf(const Task& aTask) -> std::uint64_t
{
  return PieceOf(*aTask.mJob, { aTask.mOccurrence, aTask.mStep, aTask.mIndex });
}

auto PieceOf(const Job& aJob, const TaskPosition& aTask) -> std::uint64_t
{
  const auto& job = aJob.mStored;
  return (FirstNumberOf(job.mSpec, aTask.mOccurrence, aTask.mStep) +
          aTask.mIndex) /
         TasksPerPiece(job);
}

auto ProgressOfPiece(const Job& aJob, std::uint64_t aPiece) -> ProgressPiece
{
  ProgressPiece out;
  for (const auto& it : SectionsOf(aJob.mStored, aPiece)) {
    const auto found = aJob.mOccurrences.find(it.mOccurrence);
    if (found == aJob.mOccurrences.end()) {
      continue;
    }
    const auto& tasks = found->second->mSteps[it.mStep].mTasks;
    for (auto i = it.mFrom; i < it.mTo; ++i) {
      const auto& task = tasks[i];
      if (task.mPhase == TaskPhase::Done) {
        out.mDoneBits.resize(BytesFor(TasksPerPiece(aJob.mStored)));
        SetBit(out.mDoneBits, it.mOffset + i - it.mFrom);
      } else if (HasProgress(task)) {
        out.mTasks.push_back(ProgressOf(task));
      }
    }
  }
  return out;
}

auto HasProgress(const ProgressPiece& aPiece) -> bool
{
  return !aPiece.mDoneBits.empty() || !aPiece.mTasks.empty();
}

auto IsPieceDone(const Job& aJob, std::uint64_t aPiece) -> bool
{
  for (const auto& it : SectionsOf(aJob.mStored, aPiece)) {
    const auto found = aJob.mOccurrences.find(it.mOccurrence);
    if (found == aJob.mOccurrences.end()) {
      return false;
    }
    const auto& tasks = found->second->mSteps[it.mStep].mTasks;
    const auto isDone = std::all_of(
      tasks.begin() + it.mFrom, tasks.begin() + it.mTo, [](const Task& aTask) {
        return aTask.mPhase == TaskPhase::Done;
      });
    if (!isDone) {
      return false;
    }
  }
  return true;
}

auto FindPiecesWithProgress(const Job& aJob) -> std::set<std::uint64_t>
{
  std::set<std::uint64_t> out;
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    for (const auto& step : occurrence->mSteps) {
      for (const auto& it : step.mTasks) {
        if (it.mPhase == TaskPhase::Done || HasProgress(it)) {
          out.insert(PieceOf(it));
        }
      }
    }
  }
  return out;
}

auto AddToRanges(std::vector<PieceRange>& aRanges,
                 std::uint64_t aPiece,
                 std::size_t aMaxRanges) -> bool
{
  const auto next =
    std::upper_bound(aRanges.begin(),
                     aRanges.end(),
                     aPiece,
                     [](std::uint64_t aNumber, const PieceRange& aRange) {
                       return aNumber < aRange.mFirst;
                     });
  const auto hasNext = next != aRanges.end() && next->mFirst == aPiece + 1;
  if (next != aRanges.begin()) {
    auto& previous = *std::prev(next);
    const auto end = previous.mFirst + previous.mCount;
    if (aPiece < end) {
      return true;
    }
    if (aPiece == end) {
      ++previous.mCount;
      if (hasNext) {
        previous.mCount += next->mCount;
        aRanges.erase(next);
      }
      return true;
    }
  }
  if (hasNext) {
    --next->mFirst;
    ++next->mCount;
    return true;
  }
  if (aRanges.size() >= aMaxRanges) {
    return false;
  }
  aRanges.insert(next, { aPiece, 1 });
  return true;
}

auto IsInRanges(const std::vector<PieceRange>& aRanges, std::uint64_t aPiece)
  -> bool
{
  return std::any_of(
    aRanges.begin(), aRanges.end(), [&](const PieceRange& aRange) {
      return aPiece >= aRange.mFirst && aPiece - aRange.mFirst < aRange.mCount;
    });
}

auto MergePieces(const StoredJob& aJob,
                 const std::vector<PieceRange>& aDone,
                 const std::map<std::uint64_t, ProgressPiece>& aPieces)
  -> JobProgress
{
  const auto count = CountPieces(aJob);
  JobProgress out;
  DoneTaskMap done(aJob);
  for (const auto& range : aDone) {
    for (std::uint64_t i = 0; i < range.mCount && range.mFirst + i < count;
         ++i) {
      done.Add(range.mFirst + i, [](std::uint64_t) { return true; });
    }
  }
  for (const auto& [number, piece] : aPieces) {
    if (number >= count) {
      continue;
    }
    const auto& bits = piece.mDoneBits;
    if (!bits.empty()) {
      done.Add(number,
               [&](std::uint64_t aIndex) { return HasBit(bits, aIndex); });
    }
    out.mTasks.insert(
      out.mTasks.end(), piece.mTasks.begin(), piece.mTasks.end());
  }
  out.mDoneTasks = done.Take();
  return out;
}

auto LimitCheckpoints(std::vector<TaskProgress>& aTasks, std::size_t aMaxBytes)
  -> std::size_t
{
  std::size_t bytes = 0;
  for (const auto& it : aTasks) {
    bytes += BytesOf(it);
  }
  std::size_t out = 0;
  while (bytes > aMaxBytes) {
    const auto longest = std::max_element(
      aTasks.begin(),
      aTasks.end(),
      [](const TaskProgress& aLeft, const TaskProgress& aRight) {
        return aLeft.mCheckpoint.size() < aRight.mCheckpoint.size();
      });
    if (longest == aTasks.end() || longest->mCheckpoint.empty()) {
      break;
    }
    bytes -= longest->mCheckpoint.size();
    longest->mCheckpoint.clear();
    ++out;
  }
  return out;
}

} // namespace eelgrasspost::cell

#pragma once

#include <string>
#include <vector>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "eelgrasspost/batch/batchtypes.h"

namespace eelgrasspost::batch {

/** A task that a decider asks a worker's owner to find room for. */
struct PlaceItem
{
  std::string mTask;
  std::uint64_t mAttempt = 0;
  platform::Resources mResources;
  std::string mCheckpoint;
  std::string mCommand;
  std::vector<std::string> mFailedOn;
  std::int64_t mUsedMs = 0;
  std::int64_t mDeclaredMs = 0;
  /** Version of the row that the start will be conditional on. */
  std::uint64_t mExpectedVersion = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mTask,
            mAttempt,
            mResources,
            mCheckpoint,
            mCommand,
            mFailedOn,
            mUsedMs,
            mDeclaredMs,
            mExpectedVersion);
  }
};

/** A start whose row a decider has written, or has failed to write. */
struct PlaceOutcome
{
  std::string mTask;
  std::uint64_t mAttempt = 0;
  std::string mWorker;
  bool mIsWritten = false;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mTask, mAttempt, mWorker, mIsWritten);
  }
};

/** From the decider on tasks to an owner of workers. A verdict that is lost
 * is settled by the owner, which reads the task's row. */
struct PlaceRequest
{
  std::vector<PlaceItem> mItems;
  std::vector<PlaceOutcome> mOutcomes;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mItems, mOutcomes);
  }
};

/** Room that the owner keeps for an item until its verdict. */
struct PlacedItem
{
  std::string mTask;
  std::string mWorker;
  platform::FencingToken mToken;
  std::string mIncarnation;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mTask, mWorker, mToken, mIncarnation);
  }
};

struct PlaceReply
{
  std::vector<PlacedItem> mPlaced;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mPlaced);
  }
};

} // namespace eelgrasspost::batch

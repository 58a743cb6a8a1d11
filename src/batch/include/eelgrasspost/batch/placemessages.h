#pragma once

#include <string>
#include <vector>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "eelgrasspost/batch/batchtypes.h"

namespace eelgrasspost::batch {

/** A task for which a coordinator asks an owner of workers to reserve
 * capacity. */
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
  /** Row version on which the start will be conditional. */
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

/** Whether the row of a start was written by the coordinator. */
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

/** Sent by the coordinator of tasks to an owner of workers. If an outcome is
 * lost, the owner resolves it by reading the task's row. */
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

/** Capacity that the owner reserves for an item until it learns the outcome. */
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

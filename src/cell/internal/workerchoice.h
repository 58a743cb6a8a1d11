#pragma once

#include "cellinternal.h"

namespace eelgrasspost::cell {

/** How much harm a filling task may be expected to do. */
enum class Insistence : std::uint8_t
{
  Careful,
  /** It may correct a belief, on an otherwise quiet worker. */
  MayTry,
  /** It runs where it does the least harm. */
  Must,
};

auto InsistenceOf(const Task& aTask, MonotonicTime aNow) -> Insistence;

/** Whether a worker's room holds a task, beside what is kept for others. */
auto HasRoom(const Worker& aWorker, const StepSpec& aSpec, MonotonicTime aNow)
  -> bool;

/** The worker on which a task costs least; null when it should wait. */
auto FindWorker(CellState& aCell,
                const Task& aTask,
                const StepSpec& aSpec,
                Insistence aInsistence,
                MonotonicTime aNow) -> Worker*;

} // namespace eelgrasspost::cell

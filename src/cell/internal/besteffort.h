#pragma once

#include "eelgrasspost/cell/cellstate.h"

namespace eelgrasspost::cell {

/** Processor millis that are left for filling tasks. */
auto LeftoverCpu(const Worker& aWorker) -> double;

/** Share of its speed at which one more filling task keeps all expected tails
 * of the worker within their targets, from 0 to 1. */
auto AllowedPace(const CellState& aCell,
                 const Worker& aWorker,
                 const ImageUse& aMore) -> double;

/** Sets the pace of each filling image on a worker by what is believed of
 * it. */
auto PaceByBelief(const CellState& aCell, Worker& aWorker) -> void;

/** The pace of an image on a worker, in percent. */
auto BelievedPace(const Worker& aWorker, std::size_t aImage) -> int;

/** Learns from the tail latencies in a worker's last report. */
auto LearnFromReport(CellState& aCell, Worker& aWorker, MonotonicTime aNow)
  -> void;

} // namespace eelgrasspost::cell

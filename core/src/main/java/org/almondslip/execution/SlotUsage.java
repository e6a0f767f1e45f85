package org.almondslip.execution;

import org.almondslip.execution.ExecutionCounters.Count;

/**
 * Measures the time for which slots were in use, and for which they were idle while a known request
 * waited.
 */
final class SlotUsage {

  /** Counters that receive the measured times. */
  private final ExecutionCounters counters;

  /** Time of the last change, in milliseconds. */
  private long since;

  /** Slots in use since the last change. */
  private int busy;

  /** Idle slots with a waiting request since the last change. */
  private int idleWaiting;

  /**
   * Creates a meter.
   *
   * @param counters the counters that receive the measured times
   * @param now the current time, in milliseconds
   */
  SlotUsage(ExecutionCounters counters, long now) {
    this.counters = counters;
    this.since = now;
  }

  /**
   * Updates the counters and records the state after a change.
   *
   * @param slots the slots of the target
   * @param inUse the slots in use
   * @param waiting the known requests that wait for a slot
   * @param now the current time, in milliseconds
   */
  void update(int slots, int inUse, int waiting, long now) {
    counters.add(Count.SLOT_BUSY_MILLIS, busy * (now - since));
    counters.add(Count.SLOT_IDLE_WAITING_MILLIS, idleWaiting * (now - since));
    since = now;
    busy = inUse;
    idleWaiting = Math.max(0, Math.min(slots - inUse, waiting));
  }
}

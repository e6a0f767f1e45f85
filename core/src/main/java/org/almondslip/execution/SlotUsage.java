package org.almondslip.execution;

import org.almondslip.execution.ExecutionCounters.Count;

/** Measures how long slots were in use, and idle although a known request waited for them. */
final class SlotUsage {

  /** Receiver of the measured times. */
  private final ExecutionCounters counters;

  /** Time of the last change, in milliseconds. */
  private long since;

  /** Slots in use since then. */
  private int busy;

  /** Idle slots for which requests have waited since then. */
  private int wasted;

  /**
   * Creates a meter.
   *
   * @param counters the receiver of the measured times
   * @param now the current time, in milliseconds
   */
  SlotUsage(ExecutionCounters counters, long now) {
    this.counters = counters;
    this.since = now;
  }

  /**
   * Notes the state after a change.
   *
   * @param slots the slots of the target
   * @param inUse the slots in use
   * @param waiting the known requests that wait for a slot
   * @param now the current time, in milliseconds
   */
  void update(int slots, int inUse, int waiting, long now) {
    counters.add(Count.SLOT_BUSY_MILLIS, busy * (now - since));
    counters.add(Count.SLOT_IDLE_WAITING_MILLIS, wasted * (now - since));
    since = now;
    busy = inUse;
    wasted = Math.max(0, Math.min(slots - inUse, waiting));
  }
}

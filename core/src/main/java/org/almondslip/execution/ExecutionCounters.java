package org.almondslip.execution;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.almondslip.protocol.wire.Ran;

/** Counters of an agent, written by its event thread and readable from any thread. */
public final class ExecutionCounters {

  /** Value of each counter. */
  private final Map<Count, LongAdder> values;

  /** Event or quantity that is counted. */
  public enum Count {
    /** Requests whose whole answer was sent. */
    COMPLETED,
    /** Requests that ended without an answer and are known not to have run. */
    NOT_RUN,
    /** Requests that ended without a whole answer and may have run. */
    OUTCOME_UNKNOWN,
    /**
     * Frames and call events that were ignored because they match no held request or open grant.
     */
    FRAMES_DROPPED,
    /** Dispatches of a request that had been received before. */
    FRAMES_REPEATED,
    /** Grants that no router answered in time. */
    GRANTS_EXPIRED,
    /** Grants for which the router had no request left. */
    GRANTS_DECLINED,
    /** Crashes of the target. */
    CRASHES,
    /** Slot time in use, in milliseconds. */
    SLOT_BUSY_MILLIS,
    /** Slot time not in use while a known request waited for it, in milliseconds. */
    SLOT_IDLE_WAITING_MILLIS
  }

  /** Slots of the target. */
  private volatile int slots;

  /** Slots in use. */
  private volatile int busySlots;

  /** Requests that wait for a slot. */
  private volatile int staged;

  /** Whether an exclusive request is staged or running, which keeps other slots empty. */
  private volatile boolean exclusiveActive;

  /** Creates counters at zero. */
  public ExecutionCounters() {
    Map<Count, LongAdder> all = new EnumMap<>(Count.class);
    for (Count count : Count.values()) {
      all.put(count, new LongAdder());
    }
    values = Collections.unmodifiableMap(all);
  }

  /**
   * Returns a counter.
   *
   * @param count the counter
   * @return its value
   */
  public long value(Count count) {
    return values.get(count).sum();
  }

  /**
   * Returns the slots of the target.
   *
   * @return the number, 0 while the catalog does not know the target
   */
  public int slots() {
    return slots;
  }

  /**
   * Returns the slots in use.
   *
   * @return the number
   */
  public int busySlots() {
    return busySlots;
  }

  /**
   * Returns the requests that wait for a slot.
   *
   * @return the number
   */
  public int staged() {
    return staged;
  }

  /**
   * Returns whether an exclusive request keeps other slots empty.
   *
   * @return true while such a request is staged or running
   */
  public boolean waitsAlone() {
    return exclusiveActive;
  }

  /**
   * Sets the current state.
   *
   * @param allSlots the slots of the target
   * @param busy the slots in use
   * @param waiting the requests that wait for a slot
   * @param exclusive whether a request that must run exclusively is staged or running
   */
  void set(int allSlots, int busy, int waiting, boolean exclusive) {
    slots = allSlots;
    busySlots = busy;
    staged = waiting;
    exclusiveActive = exclusive;
  }

  /**
   * Adds to a counter.
   *
   * @param count the counter
   * @param amount the amount to add
   */
  void add(Count count, long amount) {
    values.get(count).add(amount);
  }

  /**
   * Counts the end of a request.
   *
   * @param complete whether the whole answer was sent
   * @param ran whether the request has run
   */
  void countEnd(boolean complete, Ran ran) {
    Count failed = ran == Ran.NO ? Count.NOT_RUN : Count.OUTCOME_UNKNOWN;
    add(complete ? Count.COMPLETED : failed, 1);
  }
}

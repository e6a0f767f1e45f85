package org.almondslip.execution;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.almondslip.protocol.wire.Ran;

/** Counters of an agent; written by its decision thread, read by any thread. */
public final class ExecutionCounters {

  /** Value of each counter. */
  private final Map<Count, LongAdder> values;

  /** What is counted. */
  public enum Count {
    /** Requests whose whole answer was sent. */
    COMPLETED,
    /** Requests that ended without an answer and surely did not run. */
    NOT_RUN,
    /** Requests that ended without a whole answer and may have run. */
    OUTCOME_UNKNOWN,
    /** Frames that were ignored because nothing here matches them. */
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

  /** Whether a request that must run alone keeps other slots empty. */
  private volatile boolean alone;

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
   * Returns whether a request that must run alone keeps other slots empty.
   *
   * @return true while such a request is staged or running
   */
  public boolean waitsAlone() {
    return alone;
  }

  /**
   * Sets the current state.
   *
   * @param allSlots the slots of the target
   * @param busy the slots in use
   * @param waiting the requests that wait for a slot
   * @param exclusive whether a request that must run alone is staged or running
   */
  void set(int allSlots, int busy, int waiting, boolean exclusive) {
    slots = allSlots;
    busySlots = busy;
    staged = waiting;
    alone = exclusive;
  }

  /**
   * Adds to a counter.
   *
   * @param count the counter
   * @param amount how much to add
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

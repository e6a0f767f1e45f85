package org.almondslip.order;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.almondslip.error.ErrorCode;

/** Counters of claims; written by the decision thread, read by any thread. */
public final class ClaimCounters {

  /** Value of each counter. */
  private final Map<Result, LongAdder> values;

  /** What is counted. */
  public enum Result {
    /** A key was claimed. */
    GRANTED,
    /** A stored answer was replayed. */
    REPLAYED,
    /** The key is claimed by a request that may still run. */
    STILL_RUNNING,
    /** The key is claimed and nobody will record its outcome. */
    OUTCOME_UNKNOWN,
    /** The key belongs to another request. */
    KEY_REUSED,
    /** The store did not answer in time. */
    STORE_UNAVAILABLE,
    /** An answer was recorded. */
    RECORDED,
    /** An answer was given up because too many waited for the store. */
    RECORD_DROPPED,
    /** A claim was released. */
    RELEASED,
    /** A release was given up because too many waited for the store. */
    RELEASE_DROPPED;

    /**
     * Returns the counter of a refusal.
     *
     * @param code the code of the refusal
     * @return the counter
     */
    static Result ofRefusal(ErrorCode code) {
      return switch (code) {
        case STILL_RUNNING -> STILL_RUNNING;
        case OUTCOME_UNKNOWN -> OUTCOME_UNKNOWN;
        case IDEMPOTENCY_KEY_REUSED -> KEY_REUSED;
        default -> STORE_UNAVAILABLE;
      };
    }
  }

  /** Creates counters at zero. */
  public ClaimCounters() {
    Map<Result, LongAdder> all = new EnumMap<>(Result.class);
    for (Result result : Result.values()) {
      all.put(result, new LongAdder());
    }
    values = Collections.unmodifiableMap(all);
  }

  /**
   * Returns a counter.
   *
   * @param result the counter
   * @return its value
   */
  public long value(Result result) {
    return values.get(result).sum();
  }

  /**
   * Adds one to a counter.
   *
   * @param result the counter
   */
  void count(Result result) {
    values.get(result).increment();
  }
}

package org.almondslip.order;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.almondslip.error.ErrorCode;

/** Counters of claim results; updated on the decision thread and readable from any thread. */
public final class ClaimCounters {

  private final Map<Result, LongAdder> values;

  /** Counted events; the metric label of each is its name in lower case. */
  public enum Result {
    /** A key was claimed. */
    GRANTED,
    /** A recorded answer was replayed. */
    REPLAYED,
    /** The key is claimed by a request that may still run. */
    STILL_RUNNING,
    /** The key is claimed by a request whose outcome will not be recorded. */
    OUTCOME_UNKNOWN,
    /** The key is claimed by a request with a different fingerprint. */
    KEY_REUSED,
    /** The claim was refused because the store was unavailable. */
    STORE_UNAVAILABLE,
    /** The write of an answer was completed. */
    RECORDED,
    /** The write of an answer was dropped because the retry queue was full. */
    RECORD_DROPPED,
    /** The release of a claim was completed. */
    RELEASED,
    /** The release of a claim was dropped because the retry queue was full. */
    RELEASE_DROPPED;

    /**
     * Returns the counter for a refusal.
     *
     * @param code the error code of the refusal
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

  /** Creates counters that start at zero. */
  public ClaimCounters() {
    Map<Result, LongAdder> all = new EnumMap<>(Result.class);
    for (Result result : Result.values()) {
      all.put(result, new LongAdder());
    }
    values = Collections.unmodifiableMap(all);
  }

  /**
   * Returns the value of a counter.
   *
   * @param result the counted event
   * @return the number of events so far
   */
  public long value(Result result) {
    return values.get(result).sum();
  }

  /**
   * Increments a counter.
   *
   * @param result the event to count
   */
  void count(Result result) {
    values.get(result).increment();
  }
}

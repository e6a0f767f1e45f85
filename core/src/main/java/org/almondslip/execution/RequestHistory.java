package org.almondslip.execution;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.almondslip.protocol.wire.Ran;

/**
 * Bounded history of the requests that this incarnation of the agent has ended or refused, and
 * whether they ran.
 *
 * <p>A request that may have been evicted is reported as possibly run, so that a duplicate dispatch
 * never runs and is never wrongly reported as not run.
 */
final class RequestHistory {

  /** Maximum number of requests to remember. */
  private final int capacity;

  /** Whether each remembered request has run, oldest first. */
  private final Map<RequestKey, Ran> ended = new LinkedHashMap<>();

  /** Highest evicted sequence by router incarnation. */
  private final Map<Long, Long> forgotten = new HashMap<>();

  /**
   * Creates an empty history.
   *
   * @param capacity the maximum number of requests to remember
   */
  RequestHistory(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Adds a request and evicts the oldest one if the capacity is exceeded.
   *
   * @param key the request
   * @param ran whether it has run
   */
  void add(RequestKey key, Ran ran) {
    ended.put(key, ran);
    if (ended.size() > capacity) {
      Iterator<RequestKey> oldest = ended.keySet().iterator();
      RequestKey evicted = oldest.next();
      oldest.remove();
      forgotten.merge(evicted.routerIncarnation(), evicted.sequence(), Math::max);
    }
  }

  /**
   * Returns what is known about a request that is not live.
   *
   * @param key the request
   * @return whether it has run, or empty if this incarnation has never received it
   */
  Optional<Ran> find(RequestKey key) {
    Ran ran = ended.get(key);
    if (ran != null) {
      return Optional.of(ran);
    }
    Long highest = forgotten.get(key.routerIncarnation());
    return highest != null && key.sequence() <= highest
        ? Optional.of(Ran.UNKNOWN)
        : Optional.empty();
  }
}

package org.almondslip.execution;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.almondslip.protocol.wire.Ran;

/**
 * Requests that this incarnation of the agent has ended or refused, with the truth about their run.
 *
 * <p>The memory is bounded. A request that may have been forgotten counts as possibly run, so that
 * a repeated dispatch never runs and is never reported as not run by mistake.
 */
final class RequestHistory {

  /** Number of requests that are remembered. */
  private final int capacity;

  /** Whether each remembered request has run, the oldest first. */
  private final Map<RequestKey, Ran> ended = new LinkedHashMap<>();

  /** Highest forgotten sequence of each router incarnation. */
  private final Map<Long, Long> forgotten = new HashMap<>();

  /**
   * Creates an empty history.
   *
   * @param capacity the number of requests that are remembered
   */
  RequestHistory(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Remembers a request.
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
   * @return whether it has run; empty when this incarnation surely never received it
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

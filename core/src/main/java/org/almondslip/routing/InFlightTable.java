package org.almondslip.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.RequestId;

/** Attempts in flight, by the sequence number of their request id. */
final class InFlightTable {

  private final long incarnation;

  /** Attempts by sequence number, oldest first. */
  private final Map<Long, Attempt> attempts = new LinkedHashMap<>();

  private final Map<String, Integer> byTarget = new HashMap<>();

  /** Sequence number of the last request id. */
  private long sequence;

  InFlightTable(long incarnation) {
    this.incarnation = incarnation;
  }

  /**
   * Starts an attempt with a new request id.
   *
   * @param pending the request
   * @param agent the agent that gets it
   * @param connection the id of the connection
   * @return the attempt
   */
  Attempt start(PendingRequest pending, PeerIdentity agent, long connection) {
    sequence++;
    RequestId id =
        RequestId.newBuilder().setRouterIncarnation(incarnation).setSequence(sequence).build();
    Attempt attempt = new Attempt(id, pending, agent, connection);
    attempts.put(sequence, attempt);
    byTarget.merge(attempt.target(), 1, Integer::sum);
    pending.start(attempt);
    return attempt;
  }

  /**
   * Finds the attempt with a request id.
   *
   * @param id the request id
   * @return the attempt, or empty when it has ended or belongs to another router
   */
  Optional<Attempt> find(RequestId id) {
    if (id.getRouterIncarnation() != incarnation) {
      return Optional.empty();
    }
    return Optional.ofNullable(attempts.get(id.getSequence()));
  }

  /**
   * Removes an attempt that has ended.
   *
   * @param attempt the attempt
   */
  void remove(Attempt attempt) {
    if (attempts.remove(attempt.id().getSequence()) != null) {
      byTarget.computeIfPresent(attempt.target(), (target, count) -> count > 1 ? count - 1 : null);
    }
  }

  /**
   * Returns the attempts that match a condition.
   *
   * @param condition the condition
   * @return the attempts, oldest first
   */
  List<Attempt> matching(Predicate<Attempt> condition) {
    List<Attempt> found = new ArrayList<>();
    for (Attempt attempt : attempts.values()) {
      if (condition.test(attempt)) {
        found.add(attempt);
      }
    }
    return found;
  }

  /**
   * Returns the number of attempts at a target.
   *
   * @param target the target
   * @return the number
   */
  int countAt(String target) {
    return byTarget.getOrDefault(target, 0);
  }

  /**
   * Returns the number of attempts.
   *
   * @return the number
   */
  int size() {
    return attempts.size();
  }
}

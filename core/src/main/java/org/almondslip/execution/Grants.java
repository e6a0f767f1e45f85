package org.almondslip.execution;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.almondslip.catalog.Flow;

/** Unanswered grants, each of which reserves capacity for one request. */
final class Grants {

  /** Time after which a grant expires, in milliseconds. */
  private final long timeoutMillis;

  /** Open grants, the oldest first. */
  private final Map<Long, Open> open = new LinkedHashMap<>();

  /** Number of the next grant. */
  private long nextId = 1;

  /**
   * An unanswered grant.
   *
   * @param id the number of the grant, which also identifies the request that it admits
   * @param connection the connection to the router
   * @param flow the flow
   * @param exclusive whether the request must run exclusively
   * @param openedAt when the grant was sent, in milliseconds
   */
  record Open(long id, long connection, Flow flow, boolean exclusive, long openedAt) {}

  /**
   * Creates an empty table.
   *
   * @param timeoutMillis the time after which a grant expires, in milliseconds
   */
  Grants(long timeoutMillis) {
    this.timeoutMillis = timeoutMillis;
  }

  /**
   * Opens a grant.
   *
   * @param connection the connection to the router
   * @param flow the flow
   * @param exclusive whether the request must run exclusively
   * @param now the current time, in milliseconds
   * @return the grant
   */
  Open open(long connection, Flow flow, boolean exclusive, long now) {
    Open grant = new Open(nextId++, connection, flow, exclusive, now);
    open.put(grant.id(), grant);
    return grant;
  }

  /**
   * Removes the grant that a router answers.
   *
   * @param id the number of the grant
   * @param connection the connection on which the answer came
   * @return the grant, or empty if it has expired, was answered before or is not the router's
   */
  Optional<Open> remove(long id, long connection) {
    Open grant = open.get(id);
    if (grant == null || grant.connection() != connection) {
      return Optional.empty();
    }
    open.remove(id);
    return Optional.of(grant);
  }

  /**
   * Removes the expired grants.
   *
   * @param now the current time, in milliseconds
   * @return the removed grants
   */
  List<Open> expire(long now) {
    List<Open> expired = new ArrayList<>();
    Iterator<Open> oldest = open.values().iterator();
    while (oldest.hasNext()) {
      Open grant = oldest.next();
      if (grant.openedAt() + timeoutMillis > now) {
        break;
      }
      oldest.remove();
      expired.add(grant);
    }
    return expired;
  }

  /**
   * Removes the grants of a connection.
   *
   * @param connection the connection
   * @return the removed grants
   */
  List<Open> drop(long connection) {
    List<Open> dropped = new ArrayList<>();
    open.values().removeIf(grant -> grant.connection() == connection && dropped.add(grant));
    return dropped;
  }

  /**
   * Counts the open grants of a flow at one router.
   *
   * @param connection the connection to the router
   * @param flowId the id of the flow
   * @return the number
   */
  int count(long connection, int flowId) {
    int count = 0;
    for (Open grant : open.values()) {
      if (grant.connection() == connection && grant.flow().id() == flowId) {
        count++;
      }
    }
    return count;
  }

  /**
   * Returns whether a request that must run exclusively has been granted.
   *
   * @return true if such a grant is open
   */
  boolean hasExclusive() {
    return open.values().stream().anyMatch(Open::exclusive);
  }

  /**
   * Returns the number of open grants.
   *
   * @return the number
   */
  int size() {
    return open.size();
  }
}

package org.almondslip.gateway;

import io.vertx.core.http.HttpConnection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.almondslip.time.Clock;

/**
 * Tracks the connections of callers and closes those that are idle, or stalled within a request,
 * for longer than the operator allows.
 *
 * <p>The number of connections is bounded, since a process without free file descriptors can
 * neither accept callers nor connect to targets. When more than half of the capacity is in use,
 * responses close their connections. At capacity, a new connection replaces the one that has been
 * idle for longest.
 */
final class CallerConnections {

  /** Fraction of the capacity above which connections are closed after their responses. */
  private static final double SOFT_LIMIT_FRACTION = 0.5;

  private final Clock clock;

  private final int capacity;

  /** Connections without a request and when they became idle, the earliest first. */
  private final Map<HttpConnection, Long> idle = new LinkedHashMap<>();

  /** Connections that are receiving a request and when they last received data, earliest first. */
  private final Map<HttpConnection, Long> reading = new LinkedHashMap<>();

  /** Connections whose request has been received and not yet answered. */
  private final Set<HttpConnection> busy = new HashSet<>();

  /** Connections that sent an invalid request and whose further requests are ignored. */
  private final Set<HttpConnection> rejected = new HashSet<>();

  private long evicted;

  private long refused;

  CallerConnections(Clock clock, int capacity) {
    this.clock = clock;
    this.capacity = capacity;
  }

  /**
   * Adds a new connection. At capacity, closes the connection that has been idle for longest, or
   * the new one when no connection is idle.
   */
  void onOpen(HttpConnection connection) {
    if (size() >= capacity) {
      if (idle.isEmpty()) {
        refused++;
        connection.close();
        return;
      }
      evicted++;
      close(idle.keySet().iterator());
    }
    idle.put(connection, clock.millis());
  }

  /** Records that a connection has received a part of a request. */
  void onData(HttpConnection connection) {
    idle.remove(connection);
    reading.remove(connection);
    reading.put(connection, clock.millis());
  }

  /** Records that a connection has received a complete request. */
  void onRequest(HttpConnection connection) {
    idle.remove(connection);
    reading.remove(connection);
    busy.add(connection);
  }

  /** Records that the request of a connection has ended. */
  void onRequestEnd(HttpConnection connection) {
    if (busy.remove(connection) || reading.remove(connection) != null) {
      idle.put(connection, clock.millis());
    }
  }

  /**
   * Records that a connection sent an invalid request, so that its further requests are ignored.
   */
  void onRejected(HttpConnection connection) {
    rejected.add(connection);
  }

  /** Returns whether a connection sent an invalid request. */
  boolean isRejected(HttpConnection connection) {
    return rejected.contains(connection);
  }

  /** Removes a closed connection. */
  void onClosed(HttpConnection connection) {
    idle.remove(connection);
    reading.remove(connection);
    busy.remove(connection);
    rejected.remove(connection);
  }

  /** Closes connections that have been idle for at least the given time in milliseconds. */
  void closeIdle(long idleMillis) {
    closeExpired(idle, idleMillis);
  }

  /**
   * Closes connections that have been idle, or have not received data within a request, for at
   * least the given time in milliseconds.
   */
  void closeIdleAndStalled(long timeoutMillis) {
    closeIdle(timeoutMillis);
    closeExpired(reading, timeoutMillis);
  }

  /** Returns whether a connection is receiving a request or waits for a response. */
  boolean hasRequests() {
    return !reading.isEmpty() || !busy.isEmpty();
  }

  /** Returns the number of open connections. */
  int size() {
    return idle.size() + reading.size() + busy.size();
  }

  /** Returns the maximum number of open connections. */
  int capacity() {
    return capacity;
  }

  /** Returns whether responses close their connections to make room for new ones. */
  boolean aboveSoftLimit() {
    return size() > capacity * SOFT_LIMIT_FRACTION;
  }

  /** Returns the number of idle connections that were closed for new ones. */
  long evicted() {
    return evicted;
  }

  /** Returns the number of new connections that were closed since none was idle. */
  long refused() {
    return refused;
  }

  /**
   * Closes connections whose last change is at least the given time ago.
   *
   * @param connections the connections and the times of their last change, the earliest first
   * @param timeoutMillis the time in milliseconds
   */
  private void closeExpired(Map<HttpConnection, Long> connections, long timeoutMillis) {
    long now = clock.millis();
    while (!connections.isEmpty()
        && now - connections.values().iterator().next() >= timeoutMillis) {
      close(connections.keySet().iterator());
    }
  }

  /** Closes the next connection. Removes it first, since its close handler may run at once. */
  private void close(Iterator<HttpConnection> connections) {
    HttpConnection connection = connections.next();
    connections.remove();
    connection.close();
  }
}

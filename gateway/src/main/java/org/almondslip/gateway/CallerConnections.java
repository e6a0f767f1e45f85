package org.almondslip.gateway;

import io.vertx.core.http.HttpConnection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.almondslip.time.Clock;

/**
 * Connections of callers, closed when they stay idle, or stop within a request, for longer than the
 * operator allows.
 *
 * <p>Their number is bounded, since a process without free descriptors accepts no callers and
 * reaches no targets. Answers close their connections when half of the capacity is in use; when all
 * of it is, a new connection takes the place of the one that has been idle for longest.
 */
final class CallerConnections {

  /** Part of the capacity above which a connection is closed after its answer. */
  private static final double CROWDED_PART = 0.5;

  /** Source of time. */
  private final Clock clock;

  /** Largest number of connections. */
  private final int capacity;

  /** Connections without a request and the time since which they are idle, the longest first. */
  private final Map<HttpConnection, Long> idle = new LinkedHashMap<>();

  /** Connections whose request is being read and the time of its last bytes, the longest first. */
  private final Map<HttpConnection, Long> reading = new LinkedHashMap<>();

  /** Connections whose request has been read and not yet answered. */
  private final Set<HttpConnection> busy = new HashSet<>();

  /** Connections whose further bytes are not trusted. */
  private final Set<HttpConnection> rejected = new HashSet<>();

  /** Idle connections that were closed for new ones. */
  private long evicted;

  /** New connections that were closed at once. */
  private long refused;

  /**
   * Creates a table without connections.
   *
   * @param clock the source of time
   * @param capacity the largest number of connections
   */
  CallerConnections(Clock clock, int capacity) {
    this.clock = clock;
    this.capacity = capacity;
  }

  /**
   * Takes a new connection, or closes it when all others carry requests.
   *
   * @param connection the connection
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

  /**
   * Notes that bytes of a request have arrived.
   *
   * @param connection the connection
   */
  void onData(HttpConnection connection) {
    idle.remove(connection);
    reading.remove(connection);
    reading.put(connection, clock.millis());
  }

  /**
   * Notes that a whole request has arrived.
   *
   * @param connection the connection
   */
  void onRequest(HttpConnection connection) {
    idle.remove(connection);
    reading.remove(connection);
    busy.add(connection);
  }

  /**
   * Notes that a request has been answered.
   *
   * @param connection the connection
   */
  void onAnswered(HttpConnection connection) {
    if (busy.remove(connection) || reading.remove(connection) != null) {
      idle.put(connection, clock.millis());
    }
  }

  /**
   * Notes that a connection carried an invalid request; what follows on it is not read.
   *
   * @param connection the connection
   */
  void onRejected(HttpConnection connection) {
    rejected.add(connection);
  }

  /**
   * Returns whether a connection carried an invalid request.
   *
   * @param connection the connection
   * @return true when what follows on it is not read
   */
  boolean isRejected(HttpConnection connection) {
    return rejected.contains(connection);
  }

  /**
   * Forgets a closed connection.
   *
   * @param connection the connection
   */
  void onClosed(HttpConnection connection) {
    idle.remove(connection);
    reading.remove(connection);
    busy.remove(connection);
    rejected.remove(connection);
  }

  /**
   * Closes connections that have been idle for too long.
   *
   * @param idleMillis the longest idle time in milliseconds
   */
  void closeIdle(long idleMillis) {
    closeOld(idle, idleMillis);
  }

  /**
   * Closes connections that have been idle, or stopped within a request, for too long.
   *
   * @param idleMillis the longest time without a byte in milliseconds
   */
  void expire(long idleMillis) {
    closeIdle(idleMillis);
    closeOld(reading, idleMillis);
  }

  /**
   * Returns the number of open connections.
   *
   * @return the number
   */
  int size() {
    return idle.size() + reading.size() + busy.size();
  }

  /**
   * Returns the largest number of connections.
   *
   * @return the number
   */
  int capacity() {
    return capacity;
  }

  /**
   * Returns whether connections are closed after their answers to make room for new ones.
   *
   * @return true when much of the capacity is in use
   */
  boolean crowded() {
    return size() > capacity * CROWDED_PART;
  }

  /**
   * Returns the number of idle connections that were closed for new ones.
   *
   * @return the number since the start of the process
   */
  long evicted() {
    return evicted;
  }

  /**
   * Returns the number of new connections that were closed at once.
   *
   * @return the number since the start of the process
   */
  long refused() {
    return refused;
  }

  /**
   * Closes connections without a change for too long.
   *
   * @param connections the connections and the times of their last change, the earliest first
   * @param millis the longest time without a change in milliseconds
   */
  private void closeOld(Map<HttpConnection, Long> connections, long millis) {
    long now = clock.millis();
    while (!connections.isEmpty() && now - connections.values().iterator().next() >= millis) {
      close(connections.keySet().iterator());
    }
  }

  /**
   * Closes the next connection. It is removed first, since its close handler may run at once.
   *
   * @param connections the connections
   */
  private void close(Iterator<HttpConnection> connections) {
    HttpConnection connection = connections.next();
    connections.remove();
    connection.close();
  }
}

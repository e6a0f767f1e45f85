package org.almondslip.gateway;

import io.vertx.core.http.HttpConnection;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.almondslip.time.Clock;

/** Connections of callers, closed when they stay idle for longer than the operator allows. */
final class CallerConnections {

  /** Value of a connection that carries a request. */
  private static final long BUSY = Long.MAX_VALUE;

  /** Source of time. */
  private final Clock clock;

  /** Open connections with the time since which they are idle, or {@link #BUSY}. */
  private final Map<HttpConnection, Long> connections = new HashMap<>();

  /** Connections whose further bytes are not trusted. */
  private final Set<HttpConnection> rejected = new HashSet<>();

  /**
   * Creates a table without connections.
   *
   * @param clock the source of time
   */
  CallerConnections(Clock clock) {
    this.clock = clock;
  }

  /**
   * Takes a new connection.
   *
   * @param connection the connection
   */
  void onOpen(HttpConnection connection) {
    connections.put(connection, clock.millis());
  }

  /**
   * Notes that a connection carries a request.
   *
   * @param connection the connection
   */
  void onRequest(HttpConnection connection) {
    connections.put(connection, BUSY);
  }

  /**
   * Notes that a request has been answered.
   *
   * @param connection the connection
   */
  void onAnswered(HttpConnection connection) {
    connections.computeIfPresent(connection, (key, since) -> clock.millis());
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
    connections.remove(connection);
    rejected.remove(connection);
  }

  /**
   * Closes connections that have been idle for too long.
   *
   * @param idleMillis the longest idle time in milliseconds
   */
  void closeIdle(long idleMillis) {
    long now = clock.millis();
    List<HttpConnection> expired = new ArrayList<>();
    connections.forEach(
        (connection, since) -> {
          if (since != BUSY && now - since >= idleMillis) {
            expired.add(connection);
          }
        });
    expired.forEach(HttpConnection::close);
  }

  /**
   * Returns the number of open connections.
   *
   * @return the number
   */
  int size() {
    return connections.size();
  }
}

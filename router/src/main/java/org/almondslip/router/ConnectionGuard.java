package org.almondslip.router;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Limits the number of connections, and the time that each may take to send the headers of its next
 * request.
 */
final class ConnectionGuard {

  /** Event loops. */
  private final Vertx vertx;

  /** Limits of the API. */
  private final CallerLimits limits;

  /** Timers of the connections that owe headers. */
  private final Map<HttpConnection, Long> timers = new ConcurrentHashMap<>();

  /** Open connections. */
  private final Map<HttpConnection, Boolean> open = new ConcurrentHashMap<>();

  /**
   * Creates a guard without connections.
   *
   * @param vertx the event loops
   * @param limits the limits of the API
   */
  ConnectionGuard(Vertx vertx, CallerLimits limits) {
    this.vertx = vertx;
    this.limits = limits;
  }

  /**
   * Takes a new connection, or closes it when there are too many.
   *
   * @param connection the connection
   */
  void onOpen(HttpConnection connection) {
    if (open.size() >= limits.connections()) {
      connection.close();
      return;
    }
    open.put(connection, true);
    connection.closeHandler(closed -> onClose(connection));
    expectHeaders(connection);
  }

  /**
   * Notes that the headers of a request have arrived.
   *
   * @param connection the connection
   */
  void onHeaders(HttpConnection connection) {
    Long timer = timers.remove(connection);
    if (timer != null) {
      vertx.cancelTimer(timer);
    }
  }

  /**
   * Starts the time limit for the headers of the next request.
   *
   * @param connection the connection
   */
  void expectHeaders(HttpConnection connection) {
    if (open.containsKey(connection)) {
      onHeaders(connection);
      timers.put(connection, vertx.setTimer(limits.headerMillis(), id -> Aborts.abort(connection)));
    }
  }

  /**
   * Returns the number of open connections.
   *
   * @return the number
   */
  int size() {
    return open.size();
  }

  /**
   * Forgets a connection.
   *
   * @param connection the connection
   */
  private void onClose(HttpConnection connection) {
    open.remove(connection);
    onHeaders(connection);
  }
}

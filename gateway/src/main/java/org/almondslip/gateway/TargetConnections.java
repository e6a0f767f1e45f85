package org.almondslip.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnectOptions;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.almondslip.directory.TargetRecord;
import org.almondslip.time.Clock;

/** Keeps idle connections to targets. A connection carries one request at a time. */
final class TargetConnections implements AutoCloseable {

  /** Time limit for a new connection in milliseconds; several round trips between regions. */
  private static final int CONNECT_MILLIS = 1_000;

  /** Time for which an idle connection is used again when the target names no limit. */
  private static final long IDLE_MILLIS = 2_000;

  /** Part of the idle limit of a target after which a connection is no longer used. */
  private static final double IDLE_PART = 0.6;

  /**
   * Longest idle time of a connection for a request that runs at most once, in milliseconds. A
   * target may close an idle connection without notice, and such a request cannot be sent again.
   */
  private static final long FRESH_MILLIS = 1_000;

  /** Source of time. */
  private final Clock clock;

  /** Opens connections. */
  private final HttpClientAgent client;

  /** Idle connections by address, the last used first. */
  private final Map<String, Deque<Lease>> idle = new HashMap<>();

  /**
   * Creates a pool without connections.
   *
   * @param vertx the event loop
   * @param clock the source of time
   */
  TargetConnections(Vertx vertx, Clock clock) {
    this.clock = clock;
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions()
                .setConnectTimeout(CONNECT_MILLIS)
                .setKeepAlive(true)
                .setPipelining(false)
                .setMaxHeaderSize(64 << 10)
                .setTcpNoDelay(true));
  }

  /** Connection that carries one request. */
  final class Lease {

    /** Address of the target. */
    private final String address;

    /** Connection. */
    private final HttpClientConnection connection;

    /** Time until which the connection may be used again, in milliseconds. */
    private long usableUntil;

    /** Time at which the connection became idle, in milliseconds. */
    private long idleSince;

    /** Whether the connection was closed or has failed. */
    private boolean closed;

    /**
     * Creates a lease.
     *
     * @param address the address of the target
     * @param connection the connection
     */
    Lease(String address, HttpClientConnection connection) {
      this.address = address;
      this.connection = connection;
      connection.closeHandler(ignored -> onClosed());
      connection.exceptionHandler(failure -> closed = true);
    }

    /**
     * Returns the connection.
     *
     * @return the connection
     */
    HttpClientConnection connection() {
      return connection;
    }

    /**
     * Returns whether the connection was closed or has failed.
     *
     * @return true when it cannot be used
     */
    boolean closed() {
      return closed;
    }

    /**
     * Gives the connection back after an answer.
     *
     * @param response the answer
     * @param complete whether the answer was complete
     */
    void release(HttpClientResponse response, boolean complete) {
      String connectionHeader = response.getHeader("Connection");
      boolean usable = complete && !closed && !ConnectionHeaders.isUnframed(response.headers());
      if (!usable || "close".equalsIgnoreCase(connectionHeader)) {
        discard();
        return;
      }
      idleSince = clock.millis();
      usableUntil = idleSince + idleMillis(response.getHeader("Keep-Alive"));
      idle.computeIfAbsent(address, key -> new ArrayDeque<>()).addFirst(this);
    }

    /** Closes the connection, which makes the target drop the request that it carries. */
    void discard() {
      closed = true;
      connection.close();
    }

    /** Removes the connection from the idle ones. */
    private void onClosed() {
      closed = true;
      Deque<Lease> deque = idle.get(address);
      if (deque != null) {
        deque.remove(this);
      }
    }
  }

  /**
   * Returns an idle connection or opens a new one.
   *
   * @param target the target
   * @param repeatable whether the request may be sent again when the connection turns out closed
   * @return the connection; it fails only before anything was sent
   */
  Future<Lease> acquire(TargetRecord target, boolean repeatable) {
    String address = target.host() + ":" + target.port();
    Deque<Lease> deque = idle.getOrDefault(address, new ArrayDeque<>());
    long now = clock.millis();
    while (!deque.isEmpty()) {
      Lease lease = deque.pollFirst();
      boolean fresh = repeatable || now - lease.idleSince < FRESH_MILLIS;
      if (!lease.closed && fresh && now < lease.usableUntil) {
        return Future.succeededFuture(lease);
      }
      lease.discard();
    }
    return client
        .connect(new HttpConnectOptions().setHost(target.host()).setPort(target.port()))
        .map(connection -> new Lease(address, connection));
  }

  /**
   * Closes the idle connections of a target that has left.
   *
   * @param target the target
   */
  void forget(TargetRecord target) {
    Deque<Lease> deque = idle.remove(target.host() + ":" + target.port());
    if (deque != null) {
      deque.forEach(Lease::discard);
    }
  }

  /** Closes connections that were idle for too long. */
  void expire() {
    long now = clock.millis();
    for (Deque<Lease> deque : idle.values()) {
      while (!deque.isEmpty() && now >= deque.peekLast().usableUntil) {
        deque.pollLast().discard();
      }
    }
  }

  @Override
  public void close() {
    client.close();
  }

  /**
   * Returns how long an idle connection is used again.
   *
   * @param keepAlive the header of the target, null when it is missing
   * @return the time in milliseconds
   */
  private static long idleMillis(String keepAlive) {
    if (keepAlive != null) {
      int at = keepAlive.indexOf("timeout=");
      if (at >= 0) {
        String digits = keepAlive.substring(at + "timeout=".length()).replaceAll("\\D.*", "");
        if (!digits.isEmpty() && digits.length() < 6) {
          return (long) (Integer.parseInt(digits) * 1_000L * IDLE_PART);
        }
      }
    }
    return IDLE_MILLIS;
  }
}

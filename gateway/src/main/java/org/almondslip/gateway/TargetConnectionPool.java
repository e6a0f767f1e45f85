package org.almondslip.gateway;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.RequestOptions;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.almondslip.directory.TargetRecord;
import org.almondslip.http.ResponseGuard;
import org.almondslip.time.Clock;

/** Pool of connections to targets. A connection carries one request at a time. */
final class TargetConnectionPool implements AutoCloseable {

  /** Connect timeout in milliseconds; allows several round trips between regions. */
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /** Idle timeout of a connection whose target announces none, in milliseconds. */
  private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 2_000;

  /** Fraction of the idle timeout of a target after which a connection is no longer reused. */
  private static final double IDLE_TIMEOUT_FRACTION = 0.6;

  private final Clock clock;

  private final HttpClientAgent client;

  /** Idle connections by address, the most recently used first. */
  private final Map<String, Deque<Lease>> idle = new HashMap<>();

  TargetConnectionPool(Vertx vertx, Clock clock) {
    this.clock = clock;
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                .setKeepAlive(true)
                .setPipelining(false)
                .setMaxHeaderSize(64 << 10)
                .setTcpNoDelay(true));
  }

  /** Connection that is leased to one request at a time. */
  final class Lease {

    private final String address;

    private final HttpClientConnection connection;

    /** Time until which the idle connection may be reused, in milliseconds. */
    private long usableUntil;

    private long idleSince;

    /** Whether the connection is closed or has failed. */
    private boolean closed;

    private final ResponseGuard guard;

    Lease(String address, HttpClientConnection connection) {
      this.address = address;
      this.connection = connection;
      this.guard = ResponseGuard.install(connection);
      connection.closeHandler(ignored -> onClosed());
      connection.exceptionHandler(failure -> closed = true);
    }

    /**
     * Creates the next request of the connection.
     *
     * @param options the request
     * @return the request; the future fails only before anything was sent
     */
    Future<HttpClientRequest> request(RequestOptions options) {
      return connection.request(options);
    }

    /** Returns whether the connection is closed or has failed. */
    boolean closed() {
      return closed || violation().isPresent();
    }

    /** Returns which bytes of the target are no response, empty if there were none. */
    Optional<String> violation() {
      return guard.violation().map(sent -> "the target sent " + sent.description());
    }

    /**
     * Returns the connection to the pool after a response, or closes it when it is not reusable.
     *
     * @param response the response
     * @param complete whether the whole response was received
     */
    void release(HttpClientResponse response, boolean complete) {
      String connectionHeader = response.getHeader("Connection");
      boolean usable =
          complete && !closed() && !HopByHopHeaders.isCloseDelimited(response.headers());
      if (!usable || "close".equalsIgnoreCase(connectionHeader)) {
        discard();
        return;
      }
      keep(reuseMillis(response.getHeader("Keep-Alive")));
    }

    /** Returns the connection to the pool for a time in milliseconds. */
    private void keep(long millis) {
      idleSince = clock.millis();
      usableUntil = idleSince + millis;
      idle.computeIfAbsent(address, key -> new ArrayDeque<>()).addFirst(this);
    }

    /** Closes the connection, which makes the target cancel the request that it carries. */
    void discard() {
      closed = true;
      Connections.close(connection, guard.channel());
    }

    private void onClosed() {
      closed = true;
      Deque<Lease> deque = idle.get(address);
      if (deque != null) {
        deque.remove(this);
      }
    }
  }

  /**
   * Leases an idle connection or opens a new one.
   *
   * @param target the target
   * @param maxIdleMillis the maximum time for which the connection may have been idle, in
   *     milliseconds; 0 for a new connection
   * @return the connection; the future fails only before anything was sent
   */
  Future<Lease> acquire(TargetRecord target, long maxIdleMillis) {
    String address = target.host() + ":" + target.port();
    Deque<Lease> deque = idle.getOrDefault(address, new ArrayDeque<>());
    long now = clock.millis();
    while (!deque.isEmpty()) {
      Lease lease = deque.pollFirst();
      boolean fresh = now - lease.idleSince < maxIdleMillis;
      if (!lease.closed() && fresh && now < lease.usableUntil) {
        return Future.succeededFuture(lease);
      }
      lease.discard();
    }
    return connect(target);
  }

  /**
   * Opens a connection to find out whether a process listens at the address of a target. An open
   * connection is kept for the next request.
   *
   * @param target the target
   * @return true if the connection was refused, false if it was accepted or there was no reply
   */
  Future<Boolean> refusesConnections(TargetRecord target) {
    return connect(target)
        .map(
            lease -> {
              lease.keep(DEFAULT_IDLE_TIMEOUT_MILLIS);
              return false;
            })
        .otherwise(TargetConnectionPool::isRefusal);
  }

  private static boolean isRefusal(Throwable failure) {
    return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
  }

  /**
   * Opens a connection.
   *
   * @param target the target
   * @return the connection, which is not in the pool
   */
  Future<Lease> connect(TargetRecord target) {
    return client
        .connect(new HttpConnectOptions().setHost(target.host()).setPort(target.port()))
        .map(connection -> new Lease(target.host() + ":" + target.port(), connection));
  }

  /** Closes the idle connections to a removed target. */
  void closeIdle(TargetRecord target) {
    Deque<Lease> deque = idle.remove(target.host() + ":" + target.port());
    if (deque != null) {
      deque.forEach(Lease::discard);
    }
  }

  /** Closes idle connections that may no longer be reused. */
  void closeExpired() {
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
   * Returns how long an idle connection may be reused.
   *
   * @param keepAlive the Keep-Alive header of the target, null when it is missing
   * @return the time in milliseconds
   */
  private static long reuseMillis(String keepAlive) {
    if (keepAlive != null) {
      int at = keepAlive.indexOf("timeout=");
      if (at >= 0) {
        String digits = keepAlive.substring(at + "timeout=".length()).replaceAll("\\D.*", "");
        if (!digits.isEmpty() && digits.length() < 6) {
          return (long) (Integer.parseInt(digits) * 1_000L * IDLE_TIMEOUT_FRACTION);
        }
      }
    }
    return DEFAULT_IDLE_TIMEOUT_MILLIS;
  }
}

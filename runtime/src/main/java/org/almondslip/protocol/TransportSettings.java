package org.almondslip.protocol;

import io.netty.handler.ssl.SslContext;
import java.util.Optional;

/**
 * Timeouts, shared secret and TLS contexts of the inner protocol.
 *
 * @param secret the secret that is shared by all processes of the fleet
 * @param heartbeatIntervalMillis the interval between heartbeats, in milliseconds
 * @param idleTimeoutMillis the time without received data after which a connection is closed, in
 *     milliseconds
 * @param connectTimeoutMillis the timeout for connecting and for the handshake, in milliseconds
 * @param serverTls the TLS context of accepted connections, empty for plain TCP
 * @param clientTls the TLS context of opened connections, empty for plain TCP
 */
public record TransportSettings(
    String secret,
    long heartbeatIntervalMillis,
    long idleTimeoutMillis,
    long connectTimeoutMillis,
    Optional<SslContext> serverTls,
    Optional<SslContext> clientTls) {

  /** Default interval between heartbeats, in milliseconds. */
  public static final long DEFAULT_HEARTBEAT_INTERVAL_MILLIS = 1_000;

  /** Default idle timeout in milliseconds, which is three heartbeat intervals. */
  public static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 3_000;

  /** Default timeout for connecting and for the handshake, in milliseconds. */
  public static final long DEFAULT_CONNECT_TIMEOUT_MILLIS = 2_000;

  /**
   * Creates settings with default timeouts and without TLS.
   *
   * @param secret the secret that is shared by all processes of the fleet
   * @return the settings
   */
  public static TransportSettings of(String secret) {
    return new TransportSettings(
        secret,
        DEFAULT_HEARTBEAT_INTERVAL_MILLIS,
        DEFAULT_IDLE_TIMEOUT_MILLIS,
        DEFAULT_CONNECT_TIMEOUT_MILLIS,
        Optional.empty(),
        Optional.empty());
  }

  /**
   * Returns a copy of these settings with TLS.
   *
   * @param server the TLS context of accepted connections
   * @param client the TLS context of opened connections
   * @return the copy
   */
  public TransportSettings withTls(SslContext server, SslContext client) {
    return new TransportSettings(
        secret,
        heartbeatIntervalMillis,
        idleTimeoutMillis,
        connectTimeoutMillis,
        Optional.of(server),
        Optional.of(client));
  }

  /**
   * Returns a copy of these settings with another heartbeat interval and idle timeout.
   *
   * @param heartbeatMillis the interval between heartbeats, in milliseconds
   * @param idleMillis the idle timeout, in milliseconds
   * @return the copy
   */
  public TransportSettings withIntervals(long heartbeatMillis, long idleMillis) {
    return new TransportSettings(
        secret, heartbeatMillis, idleMillis, connectTimeoutMillis, serverTls, clientTls);
  }
}

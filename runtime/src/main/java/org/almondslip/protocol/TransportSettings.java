package org.almondslip.protocol;

import io.netty.handler.ssl.SslContext;
import java.util.Optional;

/**
 * Limits and secrets of the inner protocol.
 *
 * @param secret the secret that all processes of the fleet share
 * @param heartbeatIntervalMillis the interval between heartbeats
 * @param idleTimeoutMillis the time without any frame after which a connection is closed
 * @param connectTimeoutMillis the time limit for connecting and for the handshake
 * @param serverTls the TLS context of accepted connections, empty for plain TCP
 * @param clientTls the TLS context of dialled connections, empty for plain TCP
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

  /** Default silence limit, in milliseconds: three heartbeats. */
  public static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 3_000;

  /** Default limit for connecting and for the handshake, in milliseconds. */
  public static final long DEFAULT_CONNECT_TIMEOUT_MILLIS = 2_000;

  /**
   * Creates settings with the default limits and without TLS.
   *
   * @param secret the secret that all processes of the fleet share
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
   * Returns settings that use TLS.
   *
   * @param server the context of accepted connections
   * @param client the context of dialled connections
   * @return the new settings
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
   * Returns settings with other time limits.
   *
   * @param heartbeat the interval between heartbeats, in milliseconds
   * @param silence the silence limit, in milliseconds
   * @return the new settings
   */
  public TransportSettings withIntervals(long heartbeat, long silence) {
    return new TransportSettings(
        secret, heartbeat, silence, connectTimeoutMillis, serverTls, clientTls);
  }
}

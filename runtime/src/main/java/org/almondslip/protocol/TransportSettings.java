package org.almondslip.protocol;

import io.netty.handler.ssl.SslContext;
import java.util.Optional;

/**
 * Limits and secrets of the inner protocol.
 *
 * @param secret the secret that all processes of the fleet share
 * @param heartbeatMillis the interval between heartbeats
 * @param silenceMillis the time without any frame after which a connection is closed
 * @param connectMillis the time limit for connecting and for the handshake
 * @param serverTls the TLS context of accepted connections, empty for plain TCP
 * @param clientTls the TLS context of dialled connections, empty for plain TCP
 */
public record TransportSettings(
    String secret,
    long heartbeatMillis,
    long silenceMillis,
    long connectMillis,
    Optional<SslContext> serverTls,
    Optional<SslContext> clientTls) {

  /** Default interval between heartbeats, in milliseconds. */
  public static final long DEFAULT_HEARTBEAT_MILLIS = 1_000;

  /** Default silence limit, in milliseconds: three heartbeats. */
  public static final long DEFAULT_SILENCE_MILLIS = 3_000;

  /** Default limit for connecting and for the handshake, in milliseconds. */
  public static final long DEFAULT_CONNECT_MILLIS = 2_000;

  /**
   * Creates settings with the default limits and without TLS.
   *
   * @param secret the secret that all processes of the fleet share
   * @return the settings
   */
  public static TransportSettings of(String secret) {
    return new TransportSettings(
        secret,
        DEFAULT_HEARTBEAT_MILLIS,
        DEFAULT_SILENCE_MILLIS,
        DEFAULT_CONNECT_MILLIS,
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
        heartbeatMillis,
        silenceMillis,
        connectMillis,
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
  public TransportSettings withLimits(long heartbeat, long silence) {
    return new TransportSettings(secret, heartbeat, silence, connectMillis, serverTls, clientTls);
  }
}

package org.almondslip.execution;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.almondslip.membership.Peer;
import org.almondslip.protocol.wire.Frame;

/** Open connections of the agent. */
final class Peers {

  /** Connections by their number. */
  private final Map<Long, Peer> open = new HashMap<>();

  /**
   * Adds a connection.
   *
   * @param peer the connection
   */
  void add(Peer peer) {
    open.put(peer.id(), peer);
  }

  /**
   * Removes a connection.
   *
   * @param connection the number of the connection
   */
  void remove(long connection) {
    open.remove(connection);
  }

  /**
   * Finds a connection.
   *
   * @param connection the number of the connection
   * @return the connection, or empty if it is closed
   */
  Optional<Peer> find(long connection) {
    return Optional.ofNullable(open.get(connection));
  }

  /**
   * Sends a frame on all connections.
   *
   * @param frame the frame
   */
  void broadcast(Frame frame) {
    open.values().forEach(peer -> peer.send(frame));
  }

  /**
   * Sends a frame on all connections but one.
   *
   * @param frame the frame
   * @param except the number of the connection that is left out
   */
  void broadcastExcept(Frame frame, long except) {
    open.values().stream().filter(peer -> peer.id() != except).forEach(peer -> peer.send(frame));
  }
}

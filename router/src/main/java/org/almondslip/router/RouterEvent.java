package org.almondslip.router;

import org.almondslip.protocol.PeerConnection;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.routing.CallerRequest;

/** Event for the decision thread. */
sealed interface RouterEvent {

  /**
   * A caller has sent a request.
   *
   * @param request the request
   * @param taken called when the decisions have counted the request
   */
  record Arrived(CallerRequest request, Runnable taken) implements RouterEvent {}

  /**
   * A caller has consumed bytes of its answer.
   *
   * @param caller the request
   * @param bytes the number of bytes
   */
  record Consumed(long caller, long bytes) implements RouterEvent {}

  /**
   * A caller has gone.
   *
   * @param caller the request
   */
  record Gone(long caller) implements RouterEvent {}

  /**
   * A connection is open.
   *
   * @param peer the connection
   */
  record Opened(PeerConnection peer) implements RouterEvent {}

  /**
   * A connection has ended.
   *
   * @param peer the connection
   * @param byPeer whether the other side ended it
   */
  record Closed(PeerConnection peer, boolean byPeer) implements RouterEvent {}

  /**
   * A frame has arrived.
   *
   * @param peer the connection
   * @param frame the frame
   */
  record Received(PeerConnection peer, Frame frame) implements RouterEvent {}

  /**
   * An address could not be connected.
   *
   * @param address the address
   */
  record DialFailed(String address) implements RouterEvent {}

  /**
   * Work that must be done on the decision thread.
   *
   * @param work the work
   */
  record Task(Runnable work) implements RouterEvent {}
}

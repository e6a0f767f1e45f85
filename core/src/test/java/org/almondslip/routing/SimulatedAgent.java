package org.almondslip.routing;

import java.util.Deque;
import org.almondslip.protocol.wire.Frame;

/** Agent behind a simulated connection. */
interface SimulatedAgent {

  /**
   * Returns the frames for the router that the connection has not taken.
   *
   * @return the frames
   */
  Deque<Frame> outgoing();

  /**
   * Notes a new connection to the router.
   *
   * @param connection the number of the connection
   */
  void onConnect(long connection);

  /** Notes the loss of the connection. Frames on the way are lost. */
  void onDisconnect();

  /**
   * Takes a frame of the router.
   *
   * @param frame the frame
   */
  void onFrame(Frame frame);

  /** Lets time pass at the agent and its target. */
  void work();

  /** Breaks all running calls off, as a target does that closes its connections. */
  void abortRunning();

  /** Hands back the requests that have not started, as a draining agent does. */
  void returnUnstarted();
}

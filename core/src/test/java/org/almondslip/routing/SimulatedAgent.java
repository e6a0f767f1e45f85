package org.almondslip.routing;

import java.util.Deque;
import org.almondslip.protocol.wire.Frame;

/** Agent behind a simulated connection. */
interface SimulatedAgent {

  /**
   * Returns the frames for the router that have not been delivered.
   *
   * @return the frames
   */
  Deque<Frame> outgoing();

  /**
   * Handles a new connection to the router.
   *
   * @param connection the id of the connection
   */
  void onConnect(long connection);

  /** Handles the loss of the connection. Undelivered frames are lost. */
  void onDisconnect();

  /**
   * Processes a frame of the router.
   *
   * @param frame the frame
   */
  void onFrame(Frame frame);

  /** Runs one step of the agent and its target. */
  void work();

  /** Fails all running calls, like a target that closes its connections. */
  void abortRunning();

  /** Returns the requests that have not started, like a draining agent. */
  void returnUnstarted();
}

package org.almondslip.faults;

import java.util.ArrayDeque;
import java.util.Queue;

/** A process that can be paused and killed. While paused its events wait; a dead one drops them. */
abstract class Node {

  private final String instanceId;
  private final Queue<Runnable> waiting = new ArrayDeque<>();
  private boolean alive = true;
  private boolean paused;

  Node(String instanceId) {
    this.instanceId = instanceId;
  }

  final String instanceId() {
    return instanceId;
  }

  final boolean alive() {
    return alive;
  }

  final boolean responsive() {
    return alive && !paused;
  }

  final void run(Runnable event) {
    if (paused) {
      waiting.add(event);
    } else if (alive) {
      event.run();
    }
  }

  final void pause() {
    paused = true;
  }

  final void resume() {
    paused = false;
    while (!waiting.isEmpty() && !paused) {
      run(waiting.poll());
    }
  }

  final void kill() {
    alive = false;
    paused = false;
    waiting.clear();
  }

  abstract void onTick();

  abstract void onOpen(Link.End end);

  abstract void onClose(Link.End end, boolean byPeer);

  abstract void onFrame(Link.End end, org.almondslip.protocol.wire.Frame frame);

  abstract org.almondslip.protocol.wire.Heartbeat heartbeat();
}

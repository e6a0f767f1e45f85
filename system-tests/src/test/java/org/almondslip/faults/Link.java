package org.almondslip.faults;

import java.util.ArrayList;
import java.util.List;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.Frame;

/**
 * One TCP connection between two processes.
 *
 * <p>Frames keep their order. Frames sent into a cut direction arrive when the cut ends, unless an
 * end has given the connection up by then; on a silent connection they never arrive.
 */
final class Link {

  /** Time without any frame after which an end gives the connection up, in milliseconds. */
  static final long SILENCE_MILLIS = 3_000;

  private static long nextId = 1;

  private final Timeline timeline;
  private final Network network;
  private final End router;
  private final End agent;
  private boolean silent;

  Link(
      Timeline timeline,
      Network network,
      Node router,
      PeerIdentity routerIdentity,
      Node agent,
      PeerIdentity agentIdentity) {
    this.timeline = timeline;
    this.network = network;
    this.router = new End(router, agentIdentity);
    this.agent = new End(agent, routerIdentity);
  }

  void open() {
    router.node.run(() -> router.node.onOpen(router));
    agent.node.run(() -> agent.node.onOpen(agent));
  }

  void silence() {
    silent = true;
  }

  boolean usable() {
    return router.open && agent.open;
  }

  boolean joins(Node one, Node other) {
    return router.node == one && agent.node == other;
  }

  List<End> ends() {
    return List.of(router, agent);
  }

  void checkSilence() {
    for (End end : ends()) {
      if (end.open && end.node.responsive() && timeline.now() - end.lastHeard > SILENCE_MILLIS) {
        end.shut(false);
      }
    }
  }

  void onNodeKilled(Node node) {
    for (End end : ends()) {
      if (end.node == node && end.open) {
        end.open = false;
        end.other().deliver(() -> end.other().shut(true));
      }
    }
  }

  void flushHeld() {
    for (End end : ends()) {
      if (!network.cut(end.node, end.other().node)) {
        List<Runnable> held = new ArrayList<>(end.other().held);
        end.other().held.clear();
        held.forEach(end.other()::deliver);
      }
    }
  }

  /** One side of the connection, as its process sees it. */
  final class End implements Peer {

    private final Node node;
    private final PeerIdentity identity;
    private final long id = nextId++;
    private final List<Runnable> held = new ArrayList<>();
    private boolean open = true;
    private long lastHeard = timeline.now();
    private long lastDelivery;

    End(Node node, PeerIdentity identity) {
      this.node = node;
      this.identity = identity;
    }

    Node node() {
      return node;
    }

    boolean isOpen() {
      return open;
    }

    private End other() {
      return this == router ? agent : router;
    }

    @Override
    public long id() {
      return id;
    }

    @Override
    public PeerIdentity peer() {
      return identity;
    }

    @Override
    public void send(Frame frame) {
      if (open) {
        network.observe(node, other().node, frame);
        other().deliver(() -> other().receive(frame));
      }
    }

    private void deliver(Runnable arrival) {
      if (silent) {
        return;
      }
      if (network.cut(other().node, node)) {
        held.add(arrival);
        return;
      }
      lastDelivery = Math.max(lastDelivery, timeline.now() + network.delayMillis());
      timeline.at(lastDelivery, () -> node.run(arrival));
    }

    private void receive(Frame frame) {
      if (open) {
        lastHeard = timeline.now();
        node.onFrame(this, frame);
      }
    }

    private void shut(boolean byPeer) {
      if (open) {
        open = false;
        node.onClose(this, byPeer);
        if (!byPeer) {
          other().deliver(() -> other().shut(true));
        }
      }
    }
  }
}

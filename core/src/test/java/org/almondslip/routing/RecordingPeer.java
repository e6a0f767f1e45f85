package org.almondslip.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Role;

/** Connection that records the frames that the router sends. */
final class RecordingPeer implements Peer {

  /** All frames in the order of sending. */
  final List<Frame> sent = new ArrayList<>();

  /** Frames that the other end has not received. */
  final Deque<Frame> queued = new ArrayDeque<>();

  private final long id;

  private final PeerIdentity identity;

  RecordingPeer(long id, PeerIdentity identity) {
    this.id = id;
    this.identity = identity;
  }

  /**
   * Creates the identity of an agent.
   *
   * @param target the target, which also names the instance
   * @param region the region
   * @param incarnation the incarnation
   * @return the identity
   */
  static PeerIdentity agent(String target, String region, long incarnation) {
    return new PeerIdentity(
        "i-" + target, incarnation, Role.AGENT, region, region + "-1", "127.0.0.1:1", target);
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
    sent.add(frame);
    queued.add(frame);
  }

  /**
   * Returns the frames of one type.
   *
   * @param type the type
   * @return the frames in the order of sending
   */
  List<Frame> of(Frame.BodyCase type) {
    return sent.stream().filter(frame -> frame.getBodyCase() == type).toList();
  }
}

package org.almondslip.execution;

import java.util.ArrayList;
import java.util.List;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.Answer;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Grant;
import org.almondslip.protocol.wire.Role;

/** Connection to a router that records the sent frames. */
final class FakePeer implements Peer {

  /** Sent frames, oldest first. */
  final List<Frame> sent = new ArrayList<>();

  /** Number of the connection. */
  private final long id;

  /**
   * Creates a connection.
   *
   * @param id the number of the connection
   */
  FakePeer(long id) {
    this.id = id;
  }

  @Override
  public long id() {
    return id;
  }

  @Override
  public PeerIdentity peer() {
    return new PeerIdentity("router", 7, Role.ROUTER, "r", "d", "127.0.0.1:1", "");
  }

  @Override
  public void send(Frame frame) {
    sent.add(frame);
  }

  /**
   * Returns the grants that were sent.
   *
   * @return the grants
   */
  List<Grant> grants() {
    return sent.stream().filter(Frame::hasGrant).map(Frame::getGrant).toList();
  }

  /**
   * Returns the answer parts that were sent.
   *
   * @return the parts
   */
  List<Answer> answers() {
    return sent.stream().filter(Frame::hasAnswer).map(Frame::getAnswer).toList();
  }

  /**
   * Returns the last answer part that was sent.
   *
   * @return the part
   */
  Answer lastAnswer() {
    List<Answer> answers = answers();
    return answers.get(answers.size() - 1);
  }
}

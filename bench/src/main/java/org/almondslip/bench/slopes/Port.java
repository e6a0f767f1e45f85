package org.almondslip.bench.slopes;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.UncheckedIOException;
import java.util.Queue;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.Frame;

/**
 * One end of a connection that encodes frames and queues the bytes for the other end.
 *
 * @param id the number of the connection
 * @param peer the process at the other end
 * @param tally counts the frames sent
 * @param out the queue of the other end
 */
record Port(long id, PeerIdentity peer, FrameTally tally, Queue<Delivery> out) implements Peer {

  /**
   * Encoded frame under way.
   *
   * @param connection the number of the connection
   * @param bytes the frame
   */
  record Delivery(long connection, byte[] bytes) {

    /**
     * Decodes the frame.
     *
     * @return the frame
     */
    Frame frame() {
      try {
        return Frame.parseFrom(bytes);
      } catch (InvalidProtocolBufferException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  @Override
  public void send(Frame frame) {
    byte[] bytes = frame.toByteArray();
    tally.count(frame, bytes.length);
    out.add(new Delivery(id, bytes));
  }
}

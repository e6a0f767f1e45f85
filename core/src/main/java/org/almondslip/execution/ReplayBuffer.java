package org.almondslip.execution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.almondslip.protocol.wire.Answer;

/** Buffer for the unacknowledged parts of one answer. */
final class ReplayBuffer {

  /** Unacknowledged bytes of all buffers of the agent. */
  private final ByteGauge total;

  /** Unacknowledged parts in the order of their sequence. */
  private final Deque<Answer> parts = new ArrayDeque<>();

  /** Size of the unacknowledged parts, in bytes. */
  private int bytes;

  /** Sequence of the next part. */
  private long next;

  /** Total size of several buffers. */
  static final class ByteGauge {

    /** Total, in bytes. */
    private long bytes;

    /**
     * Returns the total.
     *
     * @return the bytes
     */
    long bytes() {
      return bytes;
    }
  }

  /**
   * Creates an empty buffer.
   *
   * @param total the total that includes this buffer
   */
  ReplayBuffer(ByteGauge total) {
    this.total = total;
  }

  /**
   * Adds the next part.
   *
   * @param part the part without its sequence
   * @return the part with its sequence
   */
  Answer append(Answer.Builder part) {
    Answer answer = part.setSequence(next++).build();
    parts.addLast(answer);
    change(answer.getSerializedSize());
    return answer;
  }

  /**
   * Assigns the next sequence to a final part without buffering it.
   *
   * @param part the part without its sequence
   * @return the part with its sequence
   */
  Answer numberUnbuffered(Answer.Builder part) {
    return part.setSequence(next).build();
  }

  /**
   * Discards the parts that the router has received.
   *
   * @param nextSequence the first part that the router does not have
   */
  void acknowledge(long nextSequence) {
    while (!parts.isEmpty() && parts.peekFirst().getSequence() < nextSequence) {
      change(-parts.removeFirst().getSerializedSize());
    }
  }

  /** Discards all parts. */
  void clear() {
    acknowledge(next);
  }

  /**
   * Returns the parts to replay.
   *
   * @param nextSequence the first part that the router does not have
   * @return the buffered parts from that sequence on, in order
   */
  List<Answer> from(long nextSequence) {
    List<Answer> wanted = new ArrayList<>();
    for (Answer part : parts) {
      if (part.getSequence() >= nextSequence) {
        wanted.add(part);
      }
    }
    return wanted;
  }

  /**
   * Returns the size of the unacknowledged parts.
   *
   * @return the bytes
   */
  int bytes() {
    return bytes;
  }

  /**
   * Returns whether every part has been acknowledged.
   *
   * @return true if the buffer is empty
   */
  boolean isEmpty() {
    return parts.isEmpty();
  }

  /**
   * Updates the sizes.
   *
   * @param delta the change in bytes
   */
  private void change(int delta) {
    bytes += delta;
    total.bytes += delta;
  }
}

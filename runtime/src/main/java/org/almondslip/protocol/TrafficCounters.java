package org.almondslip.protocol;

import java.util.concurrent.atomic.LongAdder;
import org.almondslip.protocol.wire.Answer;
import org.almondslip.protocol.wire.Frame;

/**
 * Bytes sent and received on inner connections, in three parts: bodies of requests and answers, the
 * framing of the frames that carry a body, and all other frames, which are control.
 */
public final class TrafficCounters {

  /** Bytes of control sent and received. */
  private final LongAdder control = new LongAdder();

  /** Bytes of request and answer bodies sent and received. */
  private final LongAdder data = new LongAdder();

  /** Bytes around the bodies in the frames that carry one. */
  private final LongAdder framing = new LongAdder();

  /** Bytes of any kind sent to peers in other regions. */
  private final LongAdder crossRegionSent = new LongAdder();

  /** Frames sent and received. */
  private final LongAdder frames = new LongAdder();

  /**
   * Counts a frame.
   *
   * @param frame the frame
   * @param size its size on the wire without the length prefix, in bytes
   * @param sentAcrossRegions whether it was sent to a peer in another region
   */
  void count(Frame frame, int size, boolean sentAcrossRegions) {
    int body = bodySize(frame);
    frames.increment();
    data.add(body);
    LongAdder rest = body > 0 ? framing : control;
    rest.add(size + lengthPrefix(size) - body);
    if (sentAcrossRegions) {
      crossRegionSent.add(size + lengthPrefix(size));
    }
  }

  /**
   * Returns the bytes of control sent and received.
   *
   * @return the bytes since the start
   */
  public long controlBytes() {
    return control.sum();
  }

  /**
   * Returns the bytes around the bodies in the frames that carry one.
   *
   * @return the bytes since the start
   */
  public long framingBytes() {
    return framing.sum();
  }

  /**
   * Returns the bytes of request and answer bodies sent and received.
   *
   * @return the bytes since the start
   */
  public long dataBytes() {
    return data.sum();
  }

  /**
   * Returns the bytes of any kind sent to peers in other regions.
   *
   * @return the bytes since the start
   */
  public long crossRegionBytes() {
    return crossRegionSent.sum();
  }

  /**
   * Returns the frames sent and received.
   *
   * @return the frames since the start
   */
  public long frames() {
    return frames.sum();
  }

  /**
   * Returns the bytes of a frame that belong to a caller's request or a target's answer.
   *
   * @param frame the frame
   * @return the size of the body that it carries, in bytes
   */
  private static int bodySize(Frame frame) {
    if (frame.hasDispatch()) {
      return frame.getDispatch().getBody().size();
    }
    if (frame.hasAnswer() && frame.getAnswer().getPartCase() == Answer.PartCase.DATA) {
      return frame.getAnswer().getData().size();
    }
    return 0;
  }

  /**
   * Returns the size of a varint length prefix.
   *
   * @param size the length to encode
   * @return the size of the prefix, in bytes
   */
  private static int lengthPrefix(int size) {
    int bits = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, size));
    return (bits + 6) / 7;
  }
}

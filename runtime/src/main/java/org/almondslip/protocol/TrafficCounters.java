package org.almondslip.protocol;

import java.util.concurrent.atomic.LongAdder;
import org.almondslip.protocol.wire.Answer;
import org.almondslip.protocol.wire.Frame;

/**
 * Counts the bytes that are sent and received on inner connections.
 *
 * <p>Bytes are divided into data, which are the bodies of requests and responses; framing, which
 * are the remaining bytes of frames that carry a body; and control, which are all other frames.
 */
public final class TrafficCounters {

  private final LongAdder control = new LongAdder();

  private final LongAdder data = new LongAdder();

  private final LongAdder framing = new LongAdder();

  /** Bytes of data, framing and control that were sent to peers in other regions. */
  private final LongAdder crossRegionSent = new LongAdder();

  private final LongAdder frames = new LongAdder();

  /**
   * Counts a frame.
   *
   * @param frame the frame
   * @param size the encoded size of the frame without its length prefix, in bytes
   * @param crossRegion whether the frame is sent to a peer in another region
   */
  void count(Frame frame, int size, boolean crossRegion) {
    int bodySize = bodySize(frame);
    frames.increment();
    data.add(bodySize);
    LongAdder overhead = bodySize > 0 ? framing : control;
    overhead.add(size + lengthPrefixSize(size) - bodySize);
    if (crossRegion) {
      crossRegionSent.add(size + lengthPrefixSize(size));
    }
  }

  /**
   * Returns the number of control bytes sent and received.
   *
   * @return the number of bytes since startup
   */
  public long controlBytes() {
    return control.sum();
  }

  /**
   * Returns the number of bytes sent and received around bodies, in the frames that carry one.
   *
   * @return the number of bytes since startup
   */
  public long framingBytes() {
    return framing.sum();
  }

  /**
   * Returns the number of bytes of request and response bodies sent and received.
   *
   * @return the number of bytes since startup
   */
  public long dataBytes() {
    return data.sum();
  }

  /**
   * Returns the number of bytes of any kind sent to peers in other regions.
   *
   * @return the number of bytes since startup
   */
  public long crossRegionBytes() {
    return crossRegionSent.sum();
  }

  /**
   * Returns the number of frames sent and received.
   *
   * @return the number of frames since startup
   */
  public long frames() {
    return frames.sum();
  }

  /**
   * Returns the size of the request or response body in a frame.
   *
   * @param frame the frame
   * @return the size in bytes, 0 for a frame without a body
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

  private static int lengthPrefixSize(int size) {
    int bits = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, size));
    return (bits + 6) / 7;
  }
}

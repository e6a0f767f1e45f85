package org.almondslip.bench.slopes;

import com.google.protobuf.CodedOutputStream;
import java.util.EnumMap;
import java.util.Map;
import org.almondslip.protocol.wire.Frame;

/** Bytes of frames on the wire by kind, with their length prefix. */
final class FrameTally {

  /** Bytes by kind, without the bodies of requests and answers. */
  private final Map<Frame.BodyCase, Long> bytes = new EnumMap<>(Frame.BodyCase.class);

  /** Bytes of control: all frames but those that carry a body. */
  private long control;

  /** Bytes around the bodies in the frames that carry one. */
  private long framing;

  /**
   * Counts a frame.
   *
   * @param frame the frame
   * @param size its size without the length prefix, in bytes
   */
  void count(Frame frame, int size) {
    long whole = size + CodedOutputStream.computeUInt32SizeNoTag(size);
    long body = bodySize(frame);
    bytes.merge(frame.getBodyCase(), whole - body, Long::sum);
    if (body > 0) {
      framing += whole - body;
    } else {
      control += whole;
    }
  }

  /**
   * Returns the bytes of control and starts again at 0.
   *
   * @return the bytes since the last call
   */
  double takeControl() {
    double taken = control;
    control = 0;
    return taken;
  }

  /**
   * Returns the bytes around bodies and starts again at 0.
   *
   * @return the bytes since the last call
   */
  double takeFraming() {
    double taken = framing;
    framing = 0;
    return taken;
  }

  /**
   * Returns the bytes of one kind and starts again at 0.
   *
   * @param kind the kind
   * @return the bytes since the last call
   */
  double take(Frame.BodyCase kind) {
    Long taken = bytes.remove(kind);
    return taken == null ? 0 : taken;
  }

  /**
   * Returns the size of a request or answer body.
   *
   * @param frame the frame
   * @return the bytes, 0 for frames of control
   */
  private static long bodySize(Frame frame) {
    return switch (frame.getBodyCase()) {
      case DISPATCH -> frame.getDispatch().getBody().size();
      case ANSWER -> frame.getAnswer().getData().size();
      default -> 0;
    };
  }
}

package org.almondslip.gateway;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import org.almondslip.routing.EventSplitter;

/**
 * Holds the bytes of a stream until an event is complete. A caller that has a part of an event
 * would join the event of the next target to it.
 */
final class EventBuffer {

  /**
   * Maximum size of an event and the comments before it, in bytes. Comments without end would
   * occupy the connection of the caller without any result.
   */
  static final int MAX_EVENT_BYTES = 256 << 10;

  private final EventSplitter splitter = new EventSplitter(MAX_EVENT_BYTES);

  private final BodyMemory.Reservation memory;

  /** Number of bytes since the last complete event. */
  private int bytesSinceEvent;

  private Optional<String> violation = Optional.empty();

  /**
   * Creates an empty buffer.
   *
   * @param memory the memory of the incomplete event
   */
  EventBuffer(BodyMemory.Reservation memory) {
    this.memory = memory;
  }

  /**
   * Adds bytes of the stream.
   *
   * @param data the bytes
   * @return the bytes up to the last complete event, none if there is a violation
   */
  ByteString add(Buffer data) {
    int before = splitter.events();
    ByteString events = splitter.add(UnsafeByteOperations.unsafeWrap(data.getBytes()));
    bytesSinceEvent = splitter.events() > before ? 0 : bytesSinceEvent + data.length();
    if (!splitter.resumable() || bytesSinceEvent > MAX_EVENT_BYTES) {
      violation = Optional.of("the stream has no complete event in 256 KiB");
    } else if (!memory.tryResize(splitter.heldBytes())) {
      violation = Optional.of("an event of the stream is larger than the memory for it");
    }
    return violation.isEmpty() ? events : ByteString.EMPTY;
  }

  /** Returns why the stream cannot be continued, empty if it can. */
  Optional<String> violation() {
    return violation;
  }

  /** Returns whether the bytes so far end within an event. */
  boolean endsWithinEvent() {
    return splitter.heldBytes() > 0;
  }
}

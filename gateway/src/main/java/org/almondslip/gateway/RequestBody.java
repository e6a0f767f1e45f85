package org.almondslip.gateway;

import io.vertx.core.buffer.Buffer;
import java.util.OptionalLong;

/** Body of a request and its memory. */
final class RequestBody {

  private final BodyMemory.Reservation memory;

  /** Size that the caller announced in bytes, empty for a body in chunks. */
  private final OptionalLong announcedBytes;

  private Buffer data = Buffer.buffer();

  private boolean released;

  private boolean paused;

  /**
   * Creates an empty body.
   *
   * @param memory the memory of the body
   * @param contentLength the Content-Length header of the request, null when it is missing
   */
  RequestBody(BodyMemory.Reservation memory, String contentLength) {
    this.memory = memory;
    this.announcedBytes =
        contentLength != null && contentLength.matches("\\d{1,18}")
            ? OptionalLong.of(Long.parseLong(contentLength))
            : OptionalLong.empty();
  }

  /**
   * Adds data that has arrived.
   *
   * @param more the data
   * @return whether there is memory for it
   */
  boolean tryAppend(Buffer more) {
    if (!memory.tryExtend(more.length())) {
      return false;
    }
    data.appendBuffer(more);
    return true;
  }

  /** Returns the data that has arrived, none after {@link #release}. */
  Buffer data() {
    return data;
  }

  /** Returns the size of the data that has arrived, in bytes. */
  int length() {
    return data.length();
  }

  /** Returns whether the announced size has arrived. */
  boolean isComplete() {
    return announcedBytes.isPresent() && length() >= announcedBytes.getAsLong();
  }

  /** Returns whether the reading of the body has been paused once. */
  boolean hasPaused() {
    return paused;
  }

  /** Records that the reading of the body is paused. */
  void markPaused() {
    paused = true;
  }

  /** Returns whether the memory has been released. */
  boolean isReleased() {
    return released;
  }

  /** Releases the memory, since the request has ended. Has no effect after the first call. */
  void release() {
    released = true;
    data = Buffer.buffer();
    memory.release();
  }
}

package org.almondslip.routing;

import com.google.protobuf.ByteString;

/**
 * Splits a stream of server-sent events at event boundaries and counts the events.
 *
 * <p>Only complete events are forwarded, so that a stream that is resumed on another target
 * continues at an event boundary. An event larger than the buffer limit is forwarded in parts,
 * after which the stream cannot be resumed.
 */
public final class EventSplitter {

  /**
   * Maximum size of an incomplete event that is buffered, in bytes. Buffered bytes are not
   * acknowledged; a limit close to the agent's window of 256 KiB would block the agent in the
   * middle of an event.
   */
  static final int MAX_HELD_BYTES = 96 << 10;

  /** Size of an incomplete event above which it is forwarded in parts, in bytes. */
  private final int maxHeldBytes;

  /** Bytes after the last complete event. */
  private ByteString tail = ByteString.EMPTY;

  /** Number of bytes of the tail that have been scanned. */
  private int scanned;

  /** Whether the current line has no bytes yet. */
  private boolean lineEmpty = true;

  /**
   * Whether the last byte was a carriage return, so that a line feed belongs to the same line end.
   */
  private boolean afterCarriageReturn;

  /** Whether the last line that ended was blank. */
  private boolean afterBlankLine;

  /** Whether the current line is a comment. */
  private boolean comment;

  /** Whether the current event has a line that is not a comment. */
  private boolean hasField;

  /** Number of complete events forwarded. */
  private int events;

  /** Whether the forwarded bytes end at an event boundary. */
  private boolean resumable = true;

  /** Creates a splitter that buffers incomplete events of up to {@link #MAX_HELD_BYTES}. */
  public EventSplitter() {
    this(MAX_HELD_BYTES);
  }

  /**
   * Creates a splitter.
   *
   * @param maxHeldBytes the maximum size of an incomplete event that is buffered, in bytes
   */
  public EventSplitter(int maxHeldBytes) {
    this.maxHeldBytes = maxHeldBytes;
  }

  /**
   * Adds bytes of the stream.
   *
   * @param data the bytes
   * @return the bytes up to the last complete event, possibly none
   */
  public ByteString add(ByteString data) {
    tail = tail.concat(data);
    int end = 0;
    for (int i = scanned; i < tail.size(); i++) {
      if (scan(tail.byteAt(i))) {
        end = i + 1;
      }
    }
    scanned = tail.size();
    if (tail.size() - end > maxHeldBytes) {
      resumable = false;
      end = tail.size();
    }
    return takePrefix(end);
  }

  /**
   * Returns the bytes after the last complete event, at the end of the stream.
   *
   * @return the bytes, possibly none
   */
  public ByteString finish() {
    return takePrefix(tail.size());
  }

  /** Discards the buffered incomplete event, which the next target sends again in full. */
  public void restart() {
    tail = ByteString.EMPTY;
    scanned = 0;
    lineEmpty = true;
    afterCarriageReturn = false;
    comment = false;
    hasField = false;
  }

  /**
   * Returns the size of the buffered incomplete event.
   *
   * @return the size in bytes
   */
  public int heldBytes() {
    return tail.size();
  }

  /**
   * Returns the number of complete events forwarded.
   *
   * @return the number
   */
  public int events() {
    return events;
  }

  /**
   * Returns whether the stream can be resumed on another target.
   *
   * @return true unless an event was forwarded in parts
   */
  public boolean resumable() {
    return resumable;
  }

  /**
   * Removes the first bytes of the tail.
   *
   * @param end the number of bytes
   * @return the removed bytes
   */
  private ByteString takePrefix(int end) {
    ByteString ready = tail.substring(0, end);
    tail = tail.substring(end);
    scanned = Math.max(0, scanned - end);
    return ready;
  }

  /**
   * Scans one byte.
   *
   * @param value the byte
   * @return true when the bytes so far end at an event boundary
   */
  private boolean scan(byte value) {
    if (value == '\n' && afterCarriageReturn) {
      afterCarriageReturn = false;
      return afterBlankLine;
    }
    afterCarriageReturn = value == '\r';
    if (value != '\n' && value != '\r') {
      comment = lineEmpty ? value == ':' : comment;
      hasField |= !comment;
      lineEmpty = false;
      return false;
    }
    afterBlankLine = lineEmpty;
    lineEmpty = true;
    if (afterBlankLine && hasField) {
      hasField = false;
      events++;
    }
    return afterBlankLine;
  }
}

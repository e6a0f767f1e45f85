package org.almondslip.http;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import java.util.regex.Matcher;

/**
 * Checks the bytes of HTTP/1.1 responses on a connection that carries one request at a time, and
 * finds the end of each response (RFC 9112, sections 4 to 7).
 *
 * <p>Stricter than decoders are: a line that a decoder repairs, such as a name with a blank behind
 * it, can change the length of the body or the meaning of the response. Each byte is read once.
 *
 * <p>A faulty target may send a part of an earlier response once more. A decoder would join it to
 * the next response, which then has the status of one response and the id of another. The part ends
 * somewhere in a head, so that the head has a second status line within one of its lines.
 */
final class ResponseFraming {

  /**
   * Maximum size of everything of a response but its body, in bytes: the head, interim responses
   * before it, and trailers.
   */
  static final int MAX_HEAD_BYTES = 64 << 10;

  /**
   * Size of the lines around chunks from which on they must not be larger than the chunks, in
   * bytes. Very small chunks without end would take the processor from other requests.
   */
  static final int MAX_CHUNK_OVERHEAD_BYTES = 64 << 10;

  private static final int MIN_STATUS = 100;

  private static final int SWITCHING_PROTOCOLS = 101;

  /** Lowest status code of a final response. */
  private static final int MIN_FINAL_STATUS = 200;

  private static final int NO_CONTENT = 204;

  private static final int NOT_MODIFIED = 304;

  private static final int MAX_STATUS = 599;

  /** Index of the minor version in a status line. */
  private static final int MINOR_VERSION_INDEX = "HTTP/1.".length();

  private State state = State.IDLE;

  private final ResponseLine line = new ResponseLine();

  /** Responses within a body that ends with the connection. */
  private final EmbeddedResponseSearch embedded = new EmbeddedResponseSearch();

  /** Size of the head, interim responses and trailers so far, in bytes. */
  private int headBytes;

  /** Status of the head that is being read, 0 before its first line. */
  private int status;

  /** Whether the response is one of HTTP/1.0, which knows no chunks. */
  private boolean isHttp10;

  /** Content-Length of the head that is being read, negative if there is none. */
  private long length;

  private boolean chunked;

  /** Whether the response has no body, as one to a HEAD request. */
  private boolean bodiless;

  /** Bytes of the body or chunk that are still expected. */
  private long remaining;

  private long chunkBytes;

  private long chunkOverheadBytes;

  private Optional<ResponseViolation> violation = Optional.empty();

  /** Part of a response that is expected next. */
  private enum State {
    /** No request waits for a response. */
    IDLE,
    STATUS_LINE,
    FIELD,
    BODY,
    CHUNK_SIZE,
    CHUNK_DATA,
    CHUNK_END,
    TRAILER,
    /** Body that ends with the connection. */
    UNTIL_CLOSE
  }

  /**
   * Expects the response to a request that is about to be sent.
   *
   * @param withoutBody whether the response has no body, whatever its headers say
   */
  void onRequest(boolean withoutBody) {
    bodiless = withoutBody;
    headBytes = 0;
    chunkBytes = 0;
    chunkOverheadBytes = 0;
    startHead();
  }

  /** Returns why the bytes so far are no response, empty if they may be one. */
  Optional<ResponseViolation> violation() {
    return violation;
  }

  /** Returns whether no response is expected, or the whole one has been read and is valid. */
  boolean isResponseComplete() {
    return state == State.IDLE
        && violation.orElse(ResponseViolation.UNEXPECTED_BYTES)
            == ResponseViolation.UNEXPECTED_BYTES;
  }

  /** Ends a body that ends with the connection, after the stream has ended in good order. */
  void onEndOfStream() {
    if (state == State.UNTIL_CLOSE) {
      state = State.IDLE;
    }
  }

  /**
   * Reads bytes of the connection without changing the reader index.
   *
   * @param data the bytes
   * @return the number of bytes that belong to the response; there is a violation if these are not
   *     all, and no byte belongs to it if the violation is in the response itself
   */
  int read(ByteBuf data) {
    int end = data.writerIndex();
    int at = data.readerIndex();
    while (at < end && violation.isEmpty()) {
      switch (state) {
        case IDLE -> {
          violate(ResponseViolation.UNEXPECTED_BYTES);
          return at - data.readerIndex();
        }
        case BODY, CHUNK_DATA -> at += skip(end - at);
        case UNTIL_CLOSE -> at = readUntilClose(data, at, end);
        default -> at = readLine(data, at, end);
      }
    }
    return violation.isPresent() ? 0 : end - data.readerIndex();
  }

  /** Records the first violation. */
  private void violate(ResponseViolation reason) {
    if (violation.isEmpty()) {
      violation = Optional.of(reason);
    }
  }

  /** Skips bytes of the body and returns their number. */
  private int skip(int available) {
    int skipped = (int) Math.min(available, remaining);
    remaining -= skipped;
    if (remaining == 0 && state == State.BODY) {
      state = State.IDLE;
    } else if (remaining == 0) {
      startLine(State.CHUNK_END, ResponseLine.Kind.CHUNK_END);
    }
    return skipped;
  }

  /**
   * Reads bytes of a body that ends with the connection and returns the index behind them. A second
   * response cannot be told from the body by its place, only by its head.
   */
  private int readUntilClose(ByteBuf data, int from, int to) {
    int at = from;
    while (at < to) {
      if (embedded.isIdle()) {
        at = indexOfStart(data, at, to);
      }
      if (at < to && embedded.endsHeadStart(charAt(data, at))) {
        violate(ResponseViolation.RESPONSE_WITHIN_BODY);
        return to;
      }
      at++;
    }
    return to;
  }

  /**
   * Returns the index of the next "HT", which may be cut off at the end, or the end without one.
   */
  private static int indexOfStart(ByteBuf data, int from, int to) {
    int at = data.indexOf(from, to, (byte) 'H');
    while (at >= 0 && at + 1 < to && data.getByte(at + 1) != 'T') {
      at = data.indexOf(at + 1, to, (byte) 'H');
    }
    return at < 0 ? to : at;
  }

  /** Reads bytes up to the end of the current line and returns the index behind them. */
  private int readLine(ByteBuf data, int from, int to) {
    int stop = data.forEachByte(from, to - from, line);
    if (stop < 0) {
      return to;
    }
    byte last = data.getByte(stop);
    if (last == '\n') {
      onLineEnd();
    } else {
      violate(line.violationBy(last));
    }
    return stop + 1;
  }

  private static char charAt(ByteBuf data, int index) {
    return (char) data.getUnsignedByte(index);
  }

  private void onLineEnd() {
    switch (state) {
      case CHUNK_SIZE -> {
        countOverhead(line.size());
        onChunkSize();
      }
      case CHUNK_END -> {
        countOverhead(line.size());
        requireCarriageReturn();
        startLine(State.CHUNK_SIZE, ResponseLine.Kind.CHUNK_SIZE);
      }
      default -> {
        countHead(line.size());
        onHeadLine();
      }
    }
  }

  private void startLine(State next, ResponseLine.Kind kind) {
    state = next;
    line.start(kind);
  }

  private void countHead(int bytes) {
    headBytes += bytes;
    if (headBytes > MAX_HEAD_BYTES) {
      violate(ResponseViolation.HEAD_SIZE);
    }
  }

  private void countOverhead(int bytes) {
    chunkOverheadBytes += bytes;
    if (chunkOverheadBytes > Math.max(MAX_CHUNK_OVERHEAD_BYTES, chunkBytes)) {
      violate(ResponseViolation.CHUNK_OVERHEAD);
    }
  }

  /** Only a line of a head or trailer may end without a carriage return (RFC 9112, section 2.2). */
  private void requireCarriageReturn() {
    if (!line.hasCarriageReturn()) {
      violate(ResponseViolation.CHUNK);
    }
  }

  private void onHeadLine() {
    if (state == State.STATUS_LINE) {
      onStatusLine();
    } else if (!line.isEmpty()) {
      onField();
    } else if (state == State.TRAILER) {
      state = State.IDLE;
    } else {
      onHeadEnd();
    }
  }

  private void onStatusLine() {
    Matcher matcher = Grammar.STATUS_LINE.matcher(line.text());
    if (!matcher.matches()) {
      violate(ResponseViolation.STATUS_LINE);
      return;
    }
    status = Integer.parseInt(matcher.group(1));
    isHttp10 = line.text().charAt(MINOR_VERSION_INDEX) == '0';
    startLine(State.FIELD, ResponseLine.Kind.FIELD);
    // Nobody has asked for another protocol.
    if (status < MIN_STATUS || status > MAX_STATUS || status == SWITCHING_PROTOCOLS) {
      violate(ResponseViolation.STATUS_CODE);
    }
  }

  private void onField() {
    if (!line.isField()) {
      violate(ResponseViolation.FIELD_NAME);
      return;
    }
    if (state == State.FIELD) {
      if (line.hasName("Content-Length")) {
        onContentLength(line.value());
      } else if (line.hasName("Transfer-Encoding")) {
        onTransferEncoding(line.value());
      }
      startLine(State.FIELD, ResponseLine.Kind.FIELD);
    } else {
      startLine(State.TRAILER, ResponseLine.Kind.TRAILER);
    }
  }

  private void onContentLength(String value) {
    boolean valid = Grammar.LENGTH.matcher(value).matches();
    if (!valid || length >= 0 && length != Long.parseLong(value)) {
      violate(ResponseViolation.LENGTH);
    } else {
      length = Long.parseLong(value);
    }
  }

  /** Requests allow no other coding, so that a response has chunks at most once. */
  private void onTransferEncoding(String value) {
    if (chunked || !value.equalsIgnoreCase("chunked")) {
      violate(ResponseViolation.LENGTH);
    }
    chunked = true;
  }

  private void onHeadEnd() {
    if (chunked && (isHttp10 || length >= 0)) {
      violate(ResponseViolation.LENGTH);
    } else if (status < MIN_FINAL_STATUS) {
      // An interim response, which the actual one follows.
      startHead();
    } else if (bodiless || status == NO_CONTENT || status == NOT_MODIFIED) {
      state = State.IDLE;
    } else if (chunked) {
      startLine(State.CHUNK_SIZE, ResponseLine.Kind.CHUNK_SIZE);
    } else if (length >= 0) {
      remaining = length;
      state = length == 0 ? State.IDLE : State.BODY;
    } else {
      state = State.UNTIL_CLOSE;
      embedded.reset();
    }
  }

  private void startHead() {
    startLine(State.STATUS_LINE, ResponseLine.Kind.STATUS);
    status = 0;
    isHttp10 = false;
    length = -1;
    chunked = false;
  }

  private void onChunkSize() {
    requireCarriageReturn();
    Matcher matcher = Grammar.CHUNK_LINE.matcher(line.text());
    if (!matcher.matches()) {
      violate(ResponseViolation.CHUNK);
      return;
    }
    remaining = Long.parseLong(matcher.group(1), 16);
    chunkBytes += remaining;
    if (remaining == 0) {
      startLine(State.TRAILER, ResponseLine.Kind.TRAILER);
    } else {
      state = State.CHUNK_DATA;
    }
  }
}

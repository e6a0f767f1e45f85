package org.almondslip.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the end of each HTTP/1.1 response on a connection that carries one request at a time (RFC
 * 9112, section 6), and bytes that cannot belong to a response.
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

  /** Maximum size of a line that gives the size of a chunk, in bytes. */
  static final int MAX_CHUNK_LINE_BYTES = 1 << 10;

  /**
   * Size of the lines around chunks from which on they must not be larger than the chunks, in
   * bytes. Very small chunks without end would take the processor from other requests.
   */
  static final int MAX_CHUNK_OVERHEAD_BYTES = 64 << 10;

  private static final int SWITCHING_PROTOCOLS = 101;

  private static final int NO_CONTENT = 204;

  private static final int NOT_MODIFIED = 304;

  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] (\\d{3})(?: .*)?");

  /** Status line within another line. A Via header may name the version, but has no status. */
  private static final Pattern SECOND_STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}");

  /** Beginning of a head, which no body has by chance. */
  private static final Pattern HEAD_START =
      Pattern.compile(
          "HTTP/1\\.[01] \\d{3}[^\\r\\n]{0,100}\\r?\\n[!#$%&'*+.^_`|~0-9A-Za-z-]{1,100}:");

  /** Length of the longest match of {@link #HEAD_START}. */
  private static final int MAX_HEAD_START_CHARS = 220;

  private static final Pattern LENGTH = Pattern.compile("\\d{1,18}");

  private static final Pattern CHUNK_SIZE = Pattern.compile("([0-9a-fA-F]{1,8})\\s*(?:;.*)?");

  private State state = State.IDLE;

  /** Current line without its end. */
  private final StringBuilder line = new StringBuilder();

  /** Size of the head, interim responses and trailers so far, in bytes. */
  private int headBytes;

  /** Status of the head that is being read, 0 before its first line. */
  private int status;

  /** Content-Length of the head that is being read, negative if there is none. */
  private long length;

  private boolean chunked;

  /** Whether the response has no body, as one to a HEAD request. */
  private boolean bodiless;

  /** Bytes of the body or chunk that are still expected. */
  private long remaining;

  private long chunkBytes;

  private long chunkOverheadBytes;

  private Optional<String> violation = Optional.empty();

  /** Part of a response that is expected next. */
  private enum State {
    /** No request waits for a response. */
    IDLE,
    HEAD,
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
    state = State.HEAD;
    bodiless = withoutBody;
    line.setLength(0);
    headBytes = 0;
    chunkBytes = 0;
    chunkOverheadBytes = 0;
    startHead();
  }

  /** Returns why the bytes so far are no response, empty if they may be one. */
  Optional<String> violation() {
    return violation;
  }

  /** Returns whether no response is expected, or the whole one has been read. */
  boolean isResponseComplete() {
    return state == State.IDLE;
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
          violation = Optional.of("the target sent bytes after the end of a response");
          return at - data.readerIndex();
        }
        case BODY, CHUNK_DATA -> at += skip(end - at);
        case UNTIL_CLOSE -> at += readUntilClose(data, at, end);
        default -> at += readLine(data, at, end);
      }
    }
    return violation.isPresent() ? 0 : end - data.readerIndex();
  }

  /** Skips bytes of the body and returns their number. */
  private int skip(int available) {
    int skipped = (int) Math.min(available, remaining);
    remaining -= skipped;
    if (remaining == 0) {
      state = state == State.BODY ? State.IDLE : State.CHUNK_END;
    }
    return skipped;
  }

  /**
   * Reads bytes of a body that ends with the connection and returns their number. A second response
   * cannot be told from the body by its place, only by its head.
   */
  private int readUntilClose(ByteBuf data, int from, int to) {
    line.append(data.toString(from, to - from, StandardCharsets.ISO_8859_1));
    if (HEAD_START.matcher(line).find()) {
      violation = Optional.of("the target sent a response within the body of another one");
    }
    line.delete(0, Math.max(0, line.length() - MAX_HEAD_START_CHARS));
    return to - from;
  }

  /** Reads bytes up to the end of the current line and returns their number. */
  private int readLine(ByteBuf data, int from, int to) {
    int lineFeed = data.indexOf(from, to, (byte) '\n');
    int lineEnd = lineFeed < 0 ? to : lineFeed + 1;
    for (int i = from; i < lineEnd; i++) {
      line.append((char) (data.getByte(i) & 0xff));
      if (line.length() > MAX_HEAD_BYTES) {
        violation = Optional.of("the target sent a line of more than 64 KiB");
        return lineEnd - from;
      }
    }
    if (lineFeed >= 0) {
      int bytes = line.length();
      String text = line.toString().stripTrailing();
      line.setLength(0);
      onLine(text, bytes);
    }
    return lineEnd - from;
  }

  private void onLine(String text, int bytes) {
    switch (state) {
      case HEAD -> {
        countHead(bytes);
        onHeadLine(text);
      }
      case CHUNK_SIZE -> {
        countOverhead(bytes);
        onChunkSize(text);
      }
      case CHUNK_END -> {
        countOverhead(bytes);
        state = State.CHUNK_SIZE;
      }
      default -> {
        countHead(bytes);
        state = text.isEmpty() ? State.IDLE : State.TRAILER;
      }
    }
  }

  private void countHead(int bytes) {
    headBytes += bytes;
    if (headBytes > MAX_HEAD_BYTES) {
      violation = Optional.of("the target sent a response head of more than 64 KiB");
    }
  }

  private void countOverhead(int bytes) {
    chunkOverheadBytes += bytes;
    if (bytes > MAX_CHUNK_LINE_BYTES
        || chunkOverheadBytes > Math.max(MAX_CHUNK_OVERHEAD_BYTES, chunkBytes)) {
      violation = Optional.of("the target sent a body whose chunks are too small");
    }
  }

  private void onHeadLine(String text) {
    if (status == 0) {
      Matcher matcher = STATUS_LINE.matcher(text);
      if (!matcher.matches() || SECOND_STATUS_LINE.matcher(text).results().count() > 1) {
        violation = Optional.of("the target sent no status line");
        return;
      }
      status = Integer.parseInt(matcher.group(1));
    } else if (text.isEmpty()) {
      onHeadEnd();
    } else if (SECOND_STATUS_LINE.matcher(text).find()) {
      violation = Optional.of("the target sent a response within the head of another one");
    } else {
      onHeader(text);
    }
  }

  private void onHeader(String text) {
    int colon = text.indexOf(':');
    String name = text.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT);
    String value = text.substring(colon + 1).trim();
    if (name.equals("content-length")) {
      boolean valid = LENGTH.matcher(value).matches();
      if (!valid || length >= 0 && length != Long.parseLong(value)) {
        violation = Optional.of("the target sent a response whose length is not clear");
      } else {
        length = Long.parseLong(value);
      }
    } else if (name.equals("transfer-encoding")) {
      chunked = value.toLowerCase(Locale.ROOT).endsWith("chunked");
    }
  }

  private void onHeadEnd() {
    if (status == SWITCHING_PROTOCOLS) {
      state = State.UNTIL_CLOSE;
    } else if (status < 200) {
      // An interim response, which the actual one follows.
      startHead();
    } else if (bodiless || status == NO_CONTENT || status == NOT_MODIFIED) {
      state = State.IDLE;
    } else if (chunked) {
      state = State.CHUNK_SIZE;
    } else if (length >= 0) {
      remaining = length;
      state = length == 0 ? State.IDLE : State.BODY;
    } else {
      state = State.UNTIL_CLOSE;
    }
  }

  private void startHead() {
    status = 0;
    length = -1;
    chunked = false;
  }

  private void onChunkSize(String text) {
    Matcher matcher = CHUNK_SIZE.matcher(text);
    if (!matcher.matches()) {
      violation = Optional.of("the target sent no chunk where one was expected");
      return;
    }
    remaining = Long.parseLong(matcher.group(1), 16);
    chunkBytes += remaining;
    state = remaining == 0 ? State.TRAILER : State.CHUNK_DATA;
  }
}

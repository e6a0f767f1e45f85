package org.almondslip.http;

import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Line of a response that is being read, each byte of which is checked as it arrives.
 *
 * <p>As a {@link ByteProcessor}, it stops at a line feed and at a byte that must not follow.
 */
final class ResponseLine implements ByteProcessor {

  /** Maximum size of a line, in bytes. */
  static final int MAX_BYTES = 64 << 10;

  /** Maximum size of a line that gives the size of a chunk, in bytes. */
  static final int MAX_CHUNK_SIZE_BYTES = 1 << 10;

  private static final int INITIAL_BYTES = 256;

  private byte[] bytes = new byte[INITIAL_BYTES];

  private int length;

  /** Status lines within this line. */
  private final EmbeddedResponseSearch embedded = new EmbeddedResponseSearch();

  private Kind kind = Kind.STATUS;

  /** Whether the last byte is a carriage return. */
  private boolean carriageReturn;

  /** Index of the colon behind the name of a field, negative before it. */
  private int colon = -1;

  /** Whether a second response begins in this line. */
  private boolean hasEmbeddedResponse;

  /** Kind of a line, which decides about its bytes. */
  enum Kind {
    /** First line of a response. */
    STATUS(ResponseViolation.STATUS_LINE) {
      @Override
      boolean accepts(ResponseLine line, char c) {
        boolean endsStatus = line.embedded.endsStatus(c);
        boolean second = line.length >= EmbeddedResponseSearch.STATUS_CHARS;
        return Grammar.isTextChar(c) && !(endsStatus && second);
      }
    },
    /** Field of a head, or the empty line behind it. */
    FIELD(ResponseViolation.FIELD_NAME) {
      @Override
      boolean accepts(ResponseLine line, char c) {
        if (!line.acceptsInField(c)) {
          return false;
        }
        line.hasEmbeddedResponse = line.embedded.endsStatus(c);
        return !line.hasEmbeddedResponse;
      }
    },
    /** Field behind the chunks, or the empty line behind it. */
    TRAILER(ResponseViolation.FIELD_NAME) {
      @Override
      boolean accepts(ResponseLine line, char c) {
        return line.acceptsInField(c);
      }
    },
    /** Size of a chunk with its extensions, which are checked when the line is complete. */
    CHUNK_SIZE(ResponseViolation.CHUNK) {
      @Override
      boolean accepts(ResponseLine line, char c) {
        return line.length < MAX_CHUNK_SIZE_BYTES;
      }
    },
    /** End of a chunk, which has no bytes before the line end. */
    CHUNK_END(ResponseViolation.CHUNK) {
      @Override
      boolean accepts(ResponseLine line, char c) {
        return false;
      }
    };

    /** Violation by a byte that does not belong to the line, outside the value of a field. */
    private final ResponseViolation violation;

    Kind(ResponseViolation violation) {
      this.violation = violation;
    }

    /** Returns whether a character other than a line end may follow. */
    abstract boolean accepts(ResponseLine line, char c);
  }

  /** Starts a line. */
  void start(Kind next) {
    kind = next;
    length = 0;
    embedded.reset();
    carriageReturn = false;
    colon = -1;
    hasEmbeddedResponse = false;
  }

  /**
   * Adds a byte.
   *
   * @param value the byte
   * @return false if it is a line feed or must not follow
   */
  @Override
  public boolean process(byte value) {
    if (value == '\n' || carriageReturn) {
      return false;
    }
    if (value == '\r') {
      carriageReturn = true;
      return true;
    }
    if (length >= MAX_BYTES || !kind.accepts(this, (char) (value & 0xff))) {
      return false;
    }
    if (length == bytes.length) {
      bytes = Arrays.copyOf(bytes, 2 * length);
    }
    bytes[length++] = value;
    return true;
  }

  /** Returns whether a character of a field may follow, and finds the end of its name. */
  private boolean acceptsInField(char c) {
    if (colon >= 0) {
      return Grammar.isTextChar(c);
    }
    if (c == ':' && length > 0) {
      colon = length;
      return true;
    }
    return Grammar.isTokenChar(c);
  }

  /**
   * Returns why a byte that is no line feed was not accepted.
   *
   * @param value the byte
   */
  ResponseViolation violationBy(byte value) {
    if (length >= MAX_BYTES) {
      return ResponseViolation.LINE_SIZE;
    }
    if (kind == Kind.CHUNK_SIZE && length >= MAX_CHUNK_SIZE_BYTES) {
      return ResponseViolation.CHUNK_OVERHEAD;
    }
    if (hasEmbeddedResponse) {
      return ResponseViolation.RESPONSE_WITHIN_HEAD;
    }
    if (colon >= 0) {
      return ResponseViolation.FIELD_VALUE;
    }
    boolean folded = kind.violation == ResponseViolation.FIELD_NAME && isEmpty();
    return folded && (value == ' ' || value == '\t')
        ? ResponseViolation.FOLDED_LINE
        : kind.violation;
  }

  boolean isEmpty() {
    return length == 0;
  }

  /** Returns whether the line ends with a carriage return before its line feed. */
  boolean hasCarriageReturn() {
    return carriageReturn;
  }

  /** Returns the size of the line with its end, in bytes. */
  int size() {
    return length + (carriageReturn ? 2 : 1);
  }

  /** Returns the line without its end, with a character for each byte. */
  String text() {
    return new String(bytes, 0, length, StandardCharsets.ISO_8859_1);
  }

  /** Returns whether the line is a field, with a name before a colon. */
  boolean isField() {
    return colon >= 0;
  }

  /** Returns whether a field has a name, which is not case-sensitive. */
  boolean hasName(String name) {
    return colon == name.length()
        && name.equalsIgnoreCase(new String(bytes, 0, colon, StandardCharsets.ISO_8859_1));
  }

  /** Returns the value of a field, without blanks around it. */
  String value() {
    return Grammar.trim(text(), colon + 1);
  }
}

package org.almondslip.http;

/**
 * Finds the beginning of a response within other text, which no text has by chance. Reads each
 * character once, whatever the pieces are in which the text arrives.
 */
final class EmbeddedResponseSearch {

  private static final String PREFIX = "HTTP/1.";

  /** Length of the prefix, the minor version, a space and a status code. */
  static final int STATUS_CHARS = PREFIX.length() + 5;

  private static final int MAX_REASON_CHARS = 100;

  private static final int MAX_NAME_CHARS = 100;

  /** Number of characters of a status that have been read. */
  private int matched;

  /** Part of a head that may have begun. */
  private Part part = Part.NONE;

  /** Number of characters of the current part. */
  private int count;

  private enum Part {
    NONE,
    /** Text behind a status code. */
    REASON,
    /** Line feed behind a carriage return. */
    LINE_END,
    /** Name of the first field. */
    NAME
  }

  /** Forgets all characters so far. */
  void reset() {
    matched = 0;
    part = Part.NONE;
  }

  /** Returns whether only an H can change the state of the search. */
  boolean isIdle() {
    return matched == 0 && part == Part.NONE;
  }

  /**
   * Reads the next character of a head.
   *
   * @param c the character
   * @return whether it is the last one of a version with a status code
   */
  boolean endsStatus(char c) {
    if (matched == 0) {
      matched = c == 'H' ? 1 : 0;
      return false;
    }
    matched = matchesNext(c) ? matched + 1 : c == 'H' ? 1 : 0;
    if (matched < STATUS_CHARS) {
      return false;
    }
    matched = 0;
    return true;
  }

  private boolean matchesNext(char c) {
    if (matched < PREFIX.length()) {
      return c == PREFIX.charAt(matched);
    }
    return switch (matched - PREFIX.length()) {
      case 0 -> c == '0' || c == '1';
      case 1 -> c == ' ';
      default -> c >= '0' && c <= '9';
    };
  }

  /**
   * Reads the next character of a body.
   *
   * @param c the character
   * @return whether it ends the name of the first field behind a status line
   */
  boolean endsHeadStart(char c) {
    boolean found = false;
    if (part != Part.NONE) {
      found = part == Part.NAME && c == ':' && count > 0;
      count++;
      part = afterPart(c);
      if (c == '\n') {
        count = 0;
      }
    }
    if (endsStatus(c)) {
      part = Part.REASON;
      count = 0;
    }
    return found;
  }

  private Part afterPart(char c) {
    return switch (part) {
      case NONE -> Part.NONE;
      case REASON -> afterReason(c);
      case LINE_END -> c == '\n' ? Part.NAME : Part.NONE;
      case NAME -> isNameChar(c) ? Part.NAME : Part.NONE;
    };
  }

  private Part afterReason(char c) {
    if (c == '\n') {
      return Part.NAME;
    }
    if (c == '\r') {
      return Part.LINE_END;
    }
    return count <= MAX_REASON_CHARS ? Part.REASON : Part.NONE;
  }

  private boolean isNameChar(char c) {
    return count <= MAX_NAME_CHARS && Grammar.isTokenChar(c);
  }
}

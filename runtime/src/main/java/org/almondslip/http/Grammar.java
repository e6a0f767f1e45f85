package org.almondslip.http;

import java.util.regex.Pattern;

/** Character classes and lines of RFC 9110 and RFC 9112. Characters stand for single bytes. */
final class Grammar {

  private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";

  private static final String QUOTED_STRING =
      "\"(?:[\\t !#-\\[\\]-~\\x80-\\xff]|\\\\[\\t -~\\x80-\\xff])*+\"";

  /** Extensions behind the size of a chunk (RFC 9112, section 7.1.1). */
  private static final String CHUNK_EXTENSIONS =
      "(?:[ \\t]*;[ \\t]*"
          + TOKEN
          + "(?:[ \\t]*=[ \\t]*(?:"
          + TOKEN
          + "|"
          + QUOTED_STRING
          + "))?)*+";

  /**
   * Status line, with the status code as its group. The space before an empty reason phrase may be
   * missing, as in the responses of many servers.
   */
  static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.[01] (\\d{3})(?: .*)?", Pattern.DOTALL);

  /** First line of a chunk, with its size as the group. */
  static final Pattern CHUNK_LINE = Pattern.compile("([0-9a-fA-F]{1,8})" + CHUNK_EXTENSIONS);

  /** Content-Length, up to a size that a long holds. */
  static final Pattern LENGTH = Pattern.compile("\\d{1,18}");

  private static final boolean[] TOKEN_CHARS = tokenChars();

  private Grammar() {}

  private static boolean[] tokenChars() {
    boolean[] chars = new boolean[256];
    for (char c = '0'; c <= 'z'; c++) {
      chars[c] = Character.isLetterOrDigit(c);
    }
    for (char c : "!#$%&'*+-.^_`|~".toCharArray()) {
      chars[c] = true;
    }
    return chars;
  }

  /** Returns whether a character may be part of the name of a header field. */
  static boolean isTokenChar(char c) {
    return TOKEN_CHARS[c];
  }

  /** Returns whether a character may be part of a value or reason phrase. */
  static boolean isTextChar(char c) {
    return c >= ' ' && c != 0x7f || c == '\t';
  }

  /** Returns the text from an index on, without spaces and tabs around it. */
  static String trim(String text, int from) {
    int start = from;
    int end = text.length();
    while (start < end && isBlank(text.charAt(start))) {
      start++;
    }
    while (end > start && isBlank(text.charAt(end - 1))) {
      end--;
    }
    return text.substring(start, end);
  }

  private static boolean isBlank(char c) {
    return c == ' ' || c == '\t';
  }
}

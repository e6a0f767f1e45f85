package org.almondslip.http;

/** Reasons why bytes of a server are no HTTP/1.1 response. */
public enum ResponseViolation {
  /** Bytes arrived while no response was expected. */
  UNEXPECTED_BYTES("bytes after the end of a response"),
  /** The first line is no status line (RFC 9112, section 4). */
  STATUS_LINE("no status line"),
  /** The status code means nothing, or a change of protocol that was not asked for. */
  STATUS_CODE("a status code that is not allowed"),
  /** A second status line stands within a head. */
  RESPONSE_WITHIN_HEAD("a response within the head of another one"),
  /** A second head stands within a body that ends with the connection. */
  RESPONSE_WITHIN_BODY("a response within the body of another one"),
  /** A line of a head or trailer has no name, or one with bytes that names do not hold. */
  FIELD_NAME("a header field whose name is not valid"),
  /** A value holds a control character (RFC 9110, section 5.5). */
  FIELD_VALUE("a header field whose value is not valid"),
  /** A line continues the one before it (RFC 9112, section 5.2). */
  FOLDED_LINE("a header field that is folded over two lines"),
  /** The length of the body is missing, contradictory or given in an unknown way. */
  LENGTH("a response whose length is not clear"),
  /** A chunk does not begin or end as RFC 9112, section 7.1, says. */
  CHUNK("no chunk where one was expected"),
  /** The lines around the chunks are larger than the chunks. */
  CHUNK_OVERHEAD("a body whose chunks are too small"),
  /** A line has no end. */
  LINE_SIZE("a line of more than 64 KiB"),
  /** The head, interim responses and trailers are too large. */
  HEAD_SIZE("a response head of more than 64 KiB");

  private final String description;

  ResponseViolation(String description) {
    this.description = description;
  }

  /**
   * Returns what the server sent, for logs and responses to callers.
   *
   * @return the description, which continues a sentence such as "the target sent"
   */
  public String description() {
    return description;
  }
}

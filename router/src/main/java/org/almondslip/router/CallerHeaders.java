package org.almondslip.router;

import io.vertx.core.MultiMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.almondslip.error.AlmondslipException;
import org.almondslip.error.ErrorCode;
import org.almondslip.protocol.wire.Header;

/** Which headers pass between callers and targets, and those that the router reads. */
final class CallerHeaders {

  /** Time limit of a request. */
  static final String TIMEOUT = "X-Request-Timeout-Ms";

  /** Name that the caller gives to an order. */
  static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** Longest idempotency key, in characters. */
  private static final int MAX_KEY = 255;

  /** Headers of one connection only. */
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  /** Headers that the router consumes. The caller's key must not reach a target. */
  private static final Set<String> CONSUMED =
      Set.of(
          "authorization",
          "host",
          "content-length",
          "expect",
          "last-event-id",
          "idempotency-key",
          "x-request-timeout-ms");

  /** Not instantiable. */
  private CallerHeaders() {}

  /**
   * Returns the headers of a request for the target.
   *
   * @param headers the headers of the caller
   * @return the headers that pass
   */
  static List<Header> toTarget(MultiMap headers) {
    Set<String> dropped = named(headers.getAll("Connection"));
    List<Header> passed = new ArrayList<>();
    for (Map.Entry<String, String> header : headers) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP.contains(name) && !CONSUMED.contains(name) && !dropped.contains(name)) {
        passed.add(Header.newBuilder().setName(name).setValue(header.getValue()).build());
      }
    }
    return passed;
  }

  /**
   * Returns the headers of an answer for the caller.
   *
   * @param headers the headers of the target
   * @return the headers that pass
   */
  static List<Header> toCaller(List<Header> headers) {
    List<String> connection = new ArrayList<>();
    for (Header header : headers) {
      if (header.getName().equalsIgnoreCase("connection")) {
        connection.add(header.getValue());
      }
    }
    Set<String> dropped = named(connection);
    List<Header> passed = new ArrayList<>();
    for (Header header : headers) {
      String name = header.getName().toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP.contains(name) && !dropped.contains(name)) {
        passed.add(header);
      }
    }
    return passed;
  }

  /**
   * Reads the time limit of a request.
   *
   * @param headers the headers of the caller
   * @param limits the limits of the API
   * @return the time limit in milliseconds
   */
  static long timeoutMillis(MultiMap headers, CallerLimits limits) {
    String text = headers.get(TIMEOUT);
    if (text == null) {
      return limits.defaultDeadlineMillis();
    }
    try {
      long millis = Long.parseLong(text.trim());
      if (millis >= 1 && millis <= limits.maxDeadlineMillis()) {
        return millis;
      }
    } catch (NumberFormatException e) {
      // Reported below like a number outside the range.
    }
    throw new AlmondslipException(
        ErrorCode.BAD_REQUEST,
        TIMEOUT + " must be a whole number from 1 to " + limits.maxDeadlineMillis());
  }

  /**
   * Reads the idempotency key of a request.
   *
   * @param headers the headers of the caller
   * @return the key, empty when there is none
   */
  static String idempotencyKey(MultiMap headers) {
    String key = headers.get(IDEMPOTENCY_KEY);
    if (key == null) {
      return "";
    }
    boolean printable = key.chars().allMatch(c -> c > ' ' - 1 && c < 0x7f);
    if (key.isEmpty() || key.length() > MAX_KEY || !printable) {
      throw new AlmondslipException(
          ErrorCode.BAD_REQUEST,
          IDEMPOTENCY_KEY + " must be 1 to " + MAX_KEY + " printable ASCII characters");
    }
    return key;
  }

  /**
   * Returns the headers that a {@code Connection} header names.
   *
   * @param values the values of the header
   * @return the names in lower case
   */
  private static Set<String> named(List<String> values) {
    Set<String> names = new HashSet<>();
    for (String value : values) {
      for (String name : value.split(",")) {
        names.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    return names;
  }
}

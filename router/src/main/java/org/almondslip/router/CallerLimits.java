package org.almondslip.router;

import org.almondslip.settings.Section;

/**
 * Limits of the callers' API. They bound the memory and the time that one caller can take.
 *
 * @param bodyBytes the largest body of a request
 * @param headerBytes the largest headers of a request
 * @param incomingBytes the largest total size of bodies that are being received
 * @param answerBytes the largest total size of answers that callers have not read
 * @param connections the largest number of connections
 * @param headerMillis the time limit for the headers of a request, also for an idle connection
 * @param bodyMillis the time limit for the body of a request
 * @param progressMillis the longest time in which a caller reads nothing of its answer
 * @param defaultDeadlineMillis the time limit of a request that names none
 * @param maxDeadlineMillis the longest time limit that a request may name
 */
public record CallerLimits(
    int bodyBytes,
    int headerBytes,
    long incomingBytes,
    long answerBytes,
    int connections,
    long headerMillis,
    long bodyMillis,
    long progressMillis,
    long defaultDeadlineMillis,
    long maxDeadlineMillis) {

  /**
   * Limits of a production router with a heap of 96 MB. Bodies may take 32 MiB of it in all: 16 MiB
   * held, 8 MiB incoming and 8 MiB unread; the catalog takes up to 55 MB while it is merged.
   */
  public static final CallerLimits DEFAULT =
      new CallerLimits(
          1 << 20, 16 << 10, 8L << 20, 8L << 20, 4096, 30_000, 30_000, 30_000, 120_000, 3_600_000);

  /** Largest body that fits into a frame of the inner protocol together with headers, in bytes. */
  private static final int MAX_BODY = 1536 << 10;

  /** Largest headers that are accepted, in bytes. */
  private static final int MAX_HEADERS = 64 << 10;

  /** Largest number of connections that is accepted. */
  private static final long MAX_CONNECTIONS = 100_000;

  /** Longest time limit that is accepted, in milliseconds: one day. */
  private static final long MAX_MILLIS = 86_400_000;

  /** Largest total size that is accepted, in bytes. */
  private static final long MAX_TOTAL = 1L << 30;

  /**
   * Reads the limits.
   *
   * @param limits the section of the limits
   * @return the limits
   */
  static CallerLimits of(Section limits) {
    long maximum = limits.durationMillis("max_deadline", DEFAULT.maxDeadlineMillis, 1, MAX_MILLIS);
    long usual =
        limits.durationMillis("default_deadline", DEFAULT.defaultDeadlineMillis, 1, MAX_MILLIS);
    if (usual > maximum) {
      limits.report("default_deadline", "must not exceed max_deadline");
    }
    return new CallerLimits(
        (int) limits.sizeBytes("body", DEFAULT.bodyBytes, 1, MAX_BODY),
        (int) limits.sizeBytes("headers", DEFAULT.headerBytes, 1 << 10, MAX_HEADERS),
        limits.sizeBytes("incoming_bodies", DEFAULT.incomingBytes, MAX_BODY, MAX_TOTAL),
        limits.sizeBytes("unread_answers", DEFAULT.answerBytes, MAX_BODY, MAX_TOTAL),
        (int) limits.integer("connections", DEFAULT.connections, 1, MAX_CONNECTIONS),
        limits.durationMillis("header_time", DEFAULT.headerMillis, 1, MAX_MILLIS),
        limits.durationMillis("body_time", DEFAULT.bodyMillis, 1, MAX_MILLIS),
        limits.durationMillis("reader_progress", DEFAULT.progressMillis, 1, MAX_MILLIS),
        usual,
        maximum);
  }

  /**
   * Returns limits with another size of bodies and headers.
   *
   * @param body the largest body, in bytes
   * @param headers the largest headers, in bytes
   * @return the new limits
   */
  CallerLimits withSizes(int body, int headers) {
    return new CallerLimits(
        body,
        headers,
        incomingBytes,
        answerBytes,
        connections,
        headerMillis,
        bodyMillis,
        progressMillis,
        defaultDeadlineMillis,
        maxDeadlineMillis);
  }

  /**
   * Returns limits with other times.
   *
   * @param headers the time limit for headers, in milliseconds
   * @param body the time limit for the body, in milliseconds
   * @param progress the longest time in which a caller reads nothing, in milliseconds
   * @return the new limits
   */
  CallerLimits withTimes(long headers, long body, long progress) {
    return new CallerLimits(
        bodyBytes,
        headerBytes,
        incomingBytes,
        answerBytes,
        connections,
        headers,
        body,
        progress,
        defaultDeadlineMillis,
        maxDeadlineMillis);
  }
}

package org.almondslip.gateway;

/** Counts of the reports between routers, since the start of the process. */
final class ReportCounts {

  /** Datagrams that were sent. */
  private long sent;

  /** Bytes of the datagrams that were sent. */
  private long sentBytes;

  /** Size of the largest datagram that was sent, in bytes. */
  private int largestBytes;

  /** Reports that were read. */
  private long received;

  /** Datagrams that could not be read. */
  private long unreadable;

  /**
   * Counts a datagram that is sent.
   *
   * @param bytes its size
   * @param receivers the number of routers that it is sent to
   */
  void onSent(int bytes, int receivers) {
    sent += receivers;
    sentBytes += (long) bytes * receivers;
    largestBytes = Math.max(largestBytes, bytes);
  }

  /** Counts a report that was read. */
  void onReceived() {
    received++;
  }

  /** Counts a datagram that could not be read. */
  void onUnreadable() {
    unreadable++;
  }

  /**
   * Returns the datagrams that were sent.
   *
   * @return the number
   */
  long sent() {
    return sent;
  }

  /**
   * Returns the bytes of the datagrams that were sent.
   *
   * @return the bytes
   */
  long sentBytes() {
    return sentBytes;
  }

  /**
   * Returns the size of the largest datagram that was sent.
   *
   * @return the size in bytes
   */
  int largestBytes() {
    return largestBytes;
  }

  /**
   * Returns the reports that were read.
   *
   * @return the number
   */
  long received() {
    return received;
  }

  /**
   * Returns the datagrams that could not be read.
   *
   * @return the number
   */
  long unreadable() {
    return unreadable;
  }
}

package org.almondslip.gateway;

/** Counts the load reports between routers since the start of the process. */
final class ReportCounts {

  private long sent;

  private long sentBytes;

  private int largestBytes;

  private long received;

  private long unreadable;

  /**
   * Counts a datagram for each router that it is sent to.
   *
   * @param bytes the size of the datagram in bytes
   * @param receivers the number of routers
   */
  void onSent(int bytes, int receivers) {
    sent += receivers;
    sentBytes += (long) bytes * receivers;
    largestBytes = Math.max(largestBytes, bytes);
  }

  /** Counts a report that was received and applied. */
  void onReceived() {
    received++;
  }

  /** Counts a datagram that could not be parsed. */
  void onUnreadable() {
    unreadable++;
  }

  /** Returns the number of datagrams sent; one that is sent to two routers counts twice. */
  long sent() {
    return sent;
  }

  long sentBytes() {
    return sentBytes;
  }

  /** Returns the size in bytes of the largest datagram sent. */
  int largestBytes() {
    return largestBytes;
  }

  long received() {
    return received;
  }

  long unreadable() {
    return unreadable;
  }
}

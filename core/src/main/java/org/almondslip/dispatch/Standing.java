package org.almondslip.dispatch;

/** How the service of an organisation compares with its share of the fleet. */
enum Standing {
  /** It received clearly less than its share. */
  UNDERSERVED(1, 1),
  /** It received about its share, or all that it asked for. */
  EVEN(1, 1),
  /** It received clearly more than its share while another organisation is behind. */
  OVERSERVED(0.35, 0.8);

  /** Part of the unread work of an engine up to which its jobs are sent. */
  private final double unreadPart;

  /** Part of the jobs at a target up to which its jobs are sent. */
  private final double slotPart;

  /**
   * Creates a standing.
   *
   * @param unreadPart the part of the unread work of an engine up to which its jobs are sent
   * @param slotPart the part of the jobs at a target up to which its jobs are sent
   */
  Standing(double unreadPart, double slotPart) {
    this.unreadPart = unreadPart;
    this.slotPart = slotPart;
  }

  /**
   * Returns the part of the unread work of an engine up to which jobs are sent.
   *
   * @return the part; the rest is kept free for other organisations
   */
  double unreadPart() {
    return unreadPart;
  }

  /**
   * Returns the part of the jobs at a target up to which jobs are sent.
   *
   * @return the part; the rest is kept free for other organisations
   */
  double slotPart() {
    return slotPart;
  }
}

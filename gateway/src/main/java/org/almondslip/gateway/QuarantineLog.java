package org.almondslip.gateway;

import com.google.common.flogger.FluentLogger;
import org.almondslip.quarantine.SegmentQuarantine;

/** Logs and counts the quarantines of prompt segments. */
final class QuarantineLog implements SegmentQuarantine.Listener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private long quarantines;

  private long releases;

  @Override
  public void onQuarantined(long segment, int number, long millis, String cause) {
    quarantines++;
    logger.atWarning().log(
        "segment %s is quarantined for %d ms (quarantine %d): %s",
        Long.toHexString(segment), millis, number, cause);
  }

  @Override
  public void onReleased(long segment) {
    releases++;
    logger.atInfo().log(
        "segment %s is released, since requests with it were answered", Long.toHexString(segment));
  }

  /** Returns the number of quarantines that started or were extended. */
  long quarantines() {
    return quarantines;
  }

  /** Returns the number of released segments. */
  long releases() {
    return releases;
  }
}

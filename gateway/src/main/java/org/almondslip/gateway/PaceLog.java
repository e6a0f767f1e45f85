package org.almondslip.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.EnumMap;
import java.util.Map;
import org.almondslip.pace.ColdReason;
import org.almondslip.pace.PaceListener;
import org.almondslip.pace.WindowChange;
import org.almondslip.pace.WithholdReason;

/** Logs and counts changes of the pace of targets. */
final class PaceLog implements PaceListener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Number of cold periods by reason. */
  private final Map<ColdReason, Long> coldPeriods = new EnumMap<>(ColdReason.class);

  /** Number of dispatched requests that were not sent, by reason. */
  private final Map<WithholdReason, Long> withheld = new EnumMap<>(WithholdReason.class);

  /** Number of changes of windows by reason, without increases. */
  private final Map<WindowChange, Long> windowChanges = new EnumMap<>(WindowChange.class);

  private long granted;

  @Override
  public void onCold(String target, ColdReason reason, long millis) {
    coldPeriods.merge(reason, 1L, Long::sum);
    logger.atInfo().log("target %s is cold for %d ms (%s)", target, millis, reason.label());
  }

  @Override
  public void onWarm(String target, ColdReason reason) {
    logger.atInfo().log("target %s is no longer cold (%s)", target, reason.label());
  }

  @Override
  public void onWindow(String target, WindowChange change, int window) {
    windowChanges.merge(change, 1L, Long::sum);
    logger.atInfo().log("window of target %s is %d requests (%s)", target, window, change.label());
  }

  @Override
  public void onPermitGranted() {
    granted++;
  }

  @Override
  public void onPermitWithheld(WithholdReason reason) {
    withheld.merge(reason, 1L, Long::sum);
  }

  /** Returns the number of cold periods by the reason of their start. */
  Map<ColdReason, Long> coldPeriods() {
    return coldPeriods;
  }

  /** Returns the number of changes of windows by reason, without increases. */
  Map<WindowChange, Long> windowChanges() {
    return windowChanges;
  }

  /** Returns the number of requests that were sent to cold targets. */
  long granted() {
    return granted;
  }

  /** Returns the number of dispatched requests that were not sent, by reason. */
  Map<WithholdReason, Long> withheld() {
    return withheld;
  }
}

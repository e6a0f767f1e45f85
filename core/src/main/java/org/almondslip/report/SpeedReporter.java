package org.almondslip.report;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.LongPredicate;
import org.almondslip.placement.TargetLoad;
import org.almondslip.placement.TargetSpeed;
import org.almondslip.protocol.wire.TargetReport;

/**
 * Adds the speeds that this router measured to the reports for a group of routers.
 *
 * <p>A figure is added when it has changed or is due for a refresh. The refresh repairs lost
 * reports, and a router that has just started learns all speeds from it.
 */
final class SpeedReporter {

  /** Interval at which an unchanged figure is reported again, in milliseconds. */
  static final long REFRESH_MILLIS = 1_000;

  /** Interval for the duration of work of a slow target, whose figure expires after 600 ms. */
  static final long SLOW_REFRESH_MILLIS = 200;

  /** Change of a speed that is reported at once, in thousandths; smaller ones are noise. */
  private static final int SPEED_CHANGE_PERMILLE = 30;

  /** Change of the duration of work that is reported at once, in percent. */
  private static final int WORK_CHANGE_PERCENT = 10;

  private static final int USUAL_PERCENT = 100;

  private final Map<Long, Reported> reported = new HashMap<>();

  /** Figures of a target as last reported. */
  private static final class Reported {
    private int permille;
    private long speedReportedAt;
    private int workPercent;
    private long workStatedAt;
    private long workReportedAt;

    private boolean isSpeedDue(OptionalInt current, long now) {
      return current.isPresent()
          && (permille == 0
              || Math.abs(current.getAsInt() - permille) >= SPEED_CHANGE_PERMILLE
              || now - speedReportedAt >= REFRESH_MILLIS);
    }

    private boolean isWorkDue(OptionalInt current, long statedAt, long now) {
      if (current.isEmpty() || workPercent != 0 && statedAt <= workStatedAt) {
        return false;
      }
      int percent = current.getAsInt();
      long refresh = percent > USUAL_PERCENT ? SLOW_REFRESH_MILLIS : REFRESH_MILLIS;
      return workPercent == 0
          || Math.abs(percent - workPercent) >= WORK_CHANGE_PERCENT
          || now - workReportedAt >= refresh;
    }
  }

  /**
   * Returns whether figures of a target have to be reported.
   *
   * @param target the target
   * @param now the current time in milliseconds
   * @return true if {@link #addTo} would add fields
   */
  boolean isDue(TargetLoad target, long now) {
    TargetSpeed speed = target.speed();
    Reported last = reported.computeIfAbsent(target.incarnationKey(), key -> new Reported());
    return last.isSpeedDue(speed.reportedPermille(now), now)
        || last.isWorkDue(speed.reportedWorkPercent(now), speed.workStatedAt(), now);
  }

  /**
   * Adds the figures of a target that have to be reported.
   *
   * @param entry the report of the target
   * @param target the target
   * @param now the current time in milliseconds
   */
  void addTo(TargetReport.Builder entry, TargetLoad target, long now) {
    TargetSpeed speed = target.speed();
    Reported last = reported.computeIfAbsent(target.incarnationKey(), key -> new Reported());
    OptionalInt permille = speed.reportedPermille(now);
    if (last.isSpeedDue(permille, now)) {
      last.permille = permille.getAsInt();
      last.speedReportedAt = now;
      entry.setSpeedPermille(last.permille).setSpeedSamples(speed.reportedSamples());
    }
    OptionalInt work = speed.reportedWorkPercent(now);
    if (last.isWorkDue(work, speed.workStatedAt(), now)) {
      last.workPercent = work.getAsInt();
      last.workStatedAt = speed.workStatedAt();
      last.workReportedAt = now;
      entry.setWorkPercent(last.workPercent).setWorkAgeMillis((int) (now - last.workStatedAt));
    }
  }

  /**
   * Forgets targets that were removed.
   *
   * @param known returns whether a target is known, by its incarnation key
   */
  void retain(LongPredicate known) {
    reported.keySet().removeIf(key -> !known.test(key));
  }
}

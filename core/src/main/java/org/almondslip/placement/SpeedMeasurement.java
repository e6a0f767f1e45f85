package org.almondslip.placement;

/**
 * Measures the response time of one request for the speed of its target.
 *
 * <p>The time counts only when the response is complete: a target that sends a first event early
 * and then breaks off is not fast.
 */
public final class SpeedMeasurement {

  /**
   * Time after which the reports of other routers tell what they had sent before this request, in
   * milliseconds: the mean age of a report. Compared with what was known at send time, fast and
   * slow targets would look alike, since most of the wait is behind unreported requests.
   */
  private static final long REPORT_DELAY_MILLIS = 150;

  private final TargetLoad target;

  private final EngineModel model;

  /** Tokens of this router that the target has to prefill, including those of the request. */
  private final long ownTokens;

  /** Prefill time that the model expects of the request itself, in milliseconds. */
  private final double ownMillis;

  /** Prefill time that the model expects, known at the first event, in milliseconds. */
  private double prefillMillis;

  /** Whether the request has a prompt, so that the time to the first event is measured. */
  private final boolean prompted;

  /** Whether the request has no prompt, so that its whole duration is measured. */
  private final boolean whole;

  private final long startedAt;

  private final double startWorkFactor;

  private boolean hasFirstEvent;

  /** Time to the first event, converted to the usual duration of work. */
  private double firstEventMillis;

  /**
   * Starts a measurement, before the request counts towards the load of the target.
   *
   * @param target the target
   * @param model the performance model of the engines
   * @param prompt the prompt of the request
   * @param now the current time in milliseconds
   */
  SpeedMeasurement(TargetLoad target, EngineModel model, Prompt prompt, long now) {
    this.target = target;
    this.whole = !target.isEngine() && prompt.promptTokens() == 0;
    this.prompted = target.isEngine() && prompt.promptTokens() > 0;
    this.model = model;
    int uncached = target.uncachedTokens(prompt);
    this.ownMillis = model.prefillMillis(uncached);
    this.ownTokens = target.ownPendingPrefillTokens() + uncached;
    this.startedAt = now;
    this.startWorkFactor = target.speed().workFactor(now);
  }

  /**
   * Records the first event of a stream.
   *
   * @param now the current time in milliseconds
   */
  public void onFirstEvent(long now) {
    if (!hasFirstEvent) {
      hasFirstEvent = true;
      long peerTokens = target.speed().peerPendingTokensAt(startedAt + REPORT_DELAY_MILLIS);
      prefillMillis = model.prefillMillis(ownTokens + peerTokens);
      firstEventMillis = (now - startedAt) / workFactor(now);
    }
  }

  /**
   * Records that the response is complete and successful.
   *
   * @param now the current time in milliseconds
   */
  public void onComplete(long now) {
    if (whole) {
      double millis = (now - startedAt) / workFactor(now);
      target.speed().onRequest(target.record().dataCentre(), millis, now);
    } else if (prompted && hasFirstEvent) {
      target
          .speed()
          .onFirstEvent(
              target.record().dataCentre(), ownMillis, prefillMillis, firstEventMillis, now);
    }
  }

  /** Returns the mean duration of work at the start and the end of a measured time. */
  private double workFactor(long end) {
    return (startWorkFactor + target.speed().workFactor(end)) / 2;
  }
}

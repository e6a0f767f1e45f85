package org.almondslip.gateway;

import org.almondslip.placement.TargetLoad;
import org.almondslip.quarantine.CrashedPrompt;

/** How far an attempt has come, which decides whether its request is blamed for a crash. */
final class AttemptProgress {

  /**
   * Maximum time between the start of a response and the loss of its connection before the head, in
   * milliseconds. A target may have waited or read the prompt before.
   */
  private static final long MAX_HEAD_MILLIS = 1_000;

  /**
   * Time after the head of a stream from which on further events show that the target has survived
   * the request, in milliseconds.
   */
  private static final long SURVIVAL_MILLIS = 250;

  private final ForwardingContext context;

  private final InboundRequest inbound;

  private final TargetLoad target;

  private final long startedAt;

  private AttemptPhase phase = AttemptPhase.SENT;

  /** Time at which the response head arrived, in milliseconds. */
  private long headAt;

  /**
   * Whether so much of the response has arrived that the request cannot have crashed the target.
   */
  private boolean answered;

  /**
   * Creates the progress of an attempt whose request is not sent yet.
   *
   * @param context the shared components of the router
   * @param inbound the request
   * @param target the target
   */
  AttemptProgress(ForwardingContext context, InboundRequest inbound, TargetLoad target) {
    this.context = context;
    this.inbound = inbound;
    this.target = target;
    this.startedAt = context.clock().millis();
  }

  AttemptPhase phase() {
    return phase;
  }

  void onHead() {
    phase = AttemptPhase.HEAD_RECEIVED;
    headAt = context.clock().millis();
  }

  /**
   * Records that complete events have arrived. Those at the start of the response do not acquit the
   * request, since a target may send several and crash.
   */
  void onEvents() {
    phase = AttemptPhase.STREAMING;
    if (context.clock().millis() - headAt >= SURVIVAL_MILLIS) {
      onAnswered();
    }
  }

  /** Records that the response is complete, or that the target survived its start. */
  void onAnswered() {
    if (!answered) {
      answered = true;
      context.crashQuarantine().onAnswer(inbound.fingerprint());
      context.segmentQuarantine().onAnswer(inbound.decoded().prompt(), headAt);
    }
  }

  /**
   * Blames the request if the connection ended at the start of the response, as in a crash. The
   * segments of its prompt are blamed before the head only if the target has ended and was not
   * about to leave.
   */
  void onConnectionLost() {
    if (answered) {
      return;
    }
    context.peerReporter().onCrash(inbound.fingerprint(), target);
    long now = context.clock().millis();
    boolean hasHead = phase != AttemptPhase.SENT;
    long progressAt = hasHead ? headAt : Math.max(startedAt, now - MAX_HEAD_MILLIS);
    CrashedPrompt crash =
        CrashedPrompt.of(inbound.decoded().prompt(), target.incarnationKey(), progressAt);
    if (crash.segments().isEmpty()) {
      return;
    }
    if (hasHead) {
      context.peerReporter().onCrash(crash);
    } else if (target.isInService()) {
      context
          .targetProbe()
          .hasEnded(target)
          .onSuccess(
              ended -> {
                if (ended) {
                  context.peerReporter().onCrash(crash);
                }
              });
    }
  }
}

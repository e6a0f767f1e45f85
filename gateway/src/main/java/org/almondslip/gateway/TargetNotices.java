package org.almondslip.gateway;

import org.almondslip.placement.TargetLoad;

/** Applies what the responses of targets say about the targets themselves. */
final class TargetNotices {

  /** Status of a target that refuses a request for now. */
  private static final int UNAVAILABLE_STATUS = 503;

  private final ForwardingContext context;

  /**
   * Creates a receiver of notices.
   *
   * @param context the shared components of the router
   */
  TargetNotices(ForwardingContext context) {
    this.context = context;
  }

  /**
   * Applies the notices of a response. They hold whichever request the response belongs to, apart
   * from the load.
   *
   * @param inbound the request that the target responded to, for logs
   * @param target the target
   * @param status the status code of the response
   * @param headers the headers of the response
   */
  void read(
      InboundRequest inbound, TargetLoad target, int status, HeaderCodec.ResponseHeaders headers) {
    if (headers.load().map(load -> load.workPercent().isPresent()).orElse(false)) {
      target.pace().onWorkStated();
    }
    if (headers.leaving() && target.onLeaving()) {
      context.decisionLog().logLeaving(target);
    }
    // A late copy of an earlier response states an old load.
    boolean current = headers.requestId().orElse("").equals(inbound.decoded().requestId());
    if (current
        && context.measuresTargetSpeed()
        && !target.speed().onStatus(headers.load(), context.clock().millis())) {
      context.decisionLog().logIgnoredLoad(target);
    }
    if (status == UNAVAILABLE_STATUS && headers.retryAfterMillis().isPresent()) {
      long millis = headers.retryAfterMillis().getAsLong();
      target.onPause(millis, context.clock().millis());
      context.decisionLog().logPause(inbound, target, millis);
    }
  }
}

package org.almondslip.routing;

import java.util.Optional;
import org.almondslip.error.ErrorCode;

/** Decides whether a new request may wait, and when a refused one should come back. */
final class QueueAdmission {

  /** Shortest time to retry, in milliseconds; {@code Retry-After} has whole seconds. */
  private static final long MIN_RETRY_MILLIS = 1_000;

  /** Longest time to retry, in milliseconds. */
  private static final long MAX_RETRY_MILLIS = 60_000;

  /** Queues. */
  private final RequestQueues queues;

  /** Limits. */
  private final RoutingSettings settings;

  /**
   * Creates the admission of a router.
   *
   * @param queues the queues
   * @param settings the limits
   */
  QueueAdmission(RequestQueues queues, RoutingSettings settings) {
    this.queues = queues;
    this.settings = settings;
  }

  /**
   * Checks a new request against the limits.
   *
   * @param pending the request
   * @param heldBytes the bytes of request bodies held, without this one
   * @param now the current time, in milliseconds
   * @return the refusal, or empty when the request may wait
   */
  Optional<Outcome> check(PendingRequest pending, long heldBytes, long now) {
    FlowQueue queue = queues.of(pending.flow());
    if (queues.waiting() >= settings.queuePerRouter()
        || heldBytes + pending.request().body().size() > settings.heldBytes()) {
      return refuse(ErrorCode.ROUTER_OVERLOADED, "the router holds too many requests", queue);
    }
    if (queues.waitingOf(pending.flow().organisation()) >= settings.queuePerOrganisation()) {
      return refuse(
          ErrorCode.ORGANISATION_QUEUE_FULL, "too many requests of the organisation wait", queue);
    }
    if (queue.size() >= settings.queuePerFlow()) {
      return refuse(
          ErrorCode.ORGANISATION_QUEUE_FULL, "too many requests for this pool wait", queue);
    }
    if (queue.waitMillis() > pending.deadline() - now) {
      return refuse(
          ErrorCode.DEADLINE_TOO_SHORT,
          "the expected wait is " + queue.waitMillis() + " ms",
          queue);
    }
    return Optional.empty();
  }

  /**
   * Returns when a refused request of a flow should come back.
   *
   * @param queue the queue of the flow
   * @return the time in milliseconds
   */
  static long retryAfterMillis(FlowQueue queue) {
    return Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, queue.waitMillis()));
  }

  /**
   * Creates a refusal.
   *
   * @param code the code
   * @param detail what limit is reached
   * @param queue the queue of the flow
   * @return the refusal
   */
  private static Optional<Outcome> refuse(ErrorCode code, String detail, FlowQueue queue) {
    return Optional.of(Outcome.notRun(code, detail).withRetryAfter(retryAfterMillis(queue)));
  }
}

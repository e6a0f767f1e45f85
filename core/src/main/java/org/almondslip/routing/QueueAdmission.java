package org.almondslip.routing;

import java.util.Optional;
import org.almondslip.error.ErrorCode;

/** Checks new requests against the queue limits, and sets the retry time of refused ones. */
final class QueueAdmission {

  /** Minimum retry time, in milliseconds; {@code Retry-After} has whole seconds. */
  private static final long MIN_RETRY_MILLIS = 1_000;

  /** Maximum retry time, in milliseconds. */
  private static final long MAX_RETRY_MILLIS = 60_000;

  private final RequestQueues queues;

  private final RoutingSettings settings;

  QueueAdmission(RequestQueues queues, RoutingSettings settings) {
    this.queues = queues;
    this.settings = settings;
  }

  /**
   * Checks a new request against the limits.
   *
   * @param pending the request
   * @param heldBytes the total size of buffered request bodies, in bytes, without this one
   * @param now the current time, in milliseconds
   * @return the refusal, or empty when the request may be queued
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
   * Returns the time after which a refused request of a flow may be retried.
   *
   * @param queue the queue of the flow
   * @return the time, in milliseconds
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

package org.almondslip.routing;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.almondslip.catalog.Flow;
import org.almondslip.error.Ran;

/** State of a caller's request across all its attempts. */
final class PendingRequest {

  /** Request as the caller sent it; without headers and body once it has ended. */
  private CallerRequest request;

  private final Flow flow;

  /** Hash of the request, see {@link Dispatcher#fingerprint}. */
  private final long fingerprint;

  /** Whether the request can safely be run more than once. */
  private final boolean idempotent;

  /** Time of arrival, in milliseconds. */
  private final long arrivedAt;

  /** Targets at which an attempt of this request failed. */
  private final Set<String> failedTargets = new HashSet<>();

  /** Splitter of the event stream, present once the head of an event stream has been sent. */
  private Optional<EventSplitter> events = Optional.empty();

  /** Attempt in flight. */
  private Optional<Attempt> attempt = Optional.empty();

  /** Time at which the request was last queued, in milliseconds. */
  private long queuedAt;

  private int attempts;

  /** Whether an attempt ended that may have been executed. */
  private boolean mayHaveRun;

  /** Whether the status and headers have been sent to the caller. */
  private boolean headSent;

  /** Body bytes forwarded to the caller's connection. */
  private long forwardedBytes;

  /** Body bytes that the caller has consumed. */
  private long consumedBytes;

  /**
   * Creates a request that has not been queued.
   *
   * @param request the request as the caller sent it
   * @param flow the flow
   * @param fingerprint the hash of the request, see {@link Dispatcher#fingerprint}
   * @param idempotent whether the request can safely be run more than once
   * @param now the time of arrival, in milliseconds
   */
  PendingRequest(CallerRequest request, Flow flow, long fingerprint, boolean idempotent, long now) {
    this.request = request;
    this.flow = flow;
    this.fingerprint = fingerprint;
    this.idempotent = idempotent;
    this.arrivedAt = now;
    this.queuedAt = now;
  }

  /**
   * Returns the request as the caller sent it.
   *
   * @return the request
   */
  CallerRequest request() {
    return request;
  }

  /**
   * Releases headers and body of a request that has ended, since its attempt may stay in flight for
   * some time.
   */
  void releaseBody() {
    request = request.withoutBody();
  }

  Flow flow() {
    return flow;
  }

  /**
   * Returns the hash of organisation, pool, method, path and body.
   *
   * @return the fingerprint
   */
  long fingerprint() {
    return fingerprint;
  }

  /**
   * Returns whether the request can safely be run more than once.
   *
   * @return true when it is idempotent
   */
  boolean idempotent() {
    return idempotent;
  }

  /**
   * Returns the time of arrival.
   *
   * @return the time, in milliseconds
   */
  long arrivedAt() {
    return arrivedAt;
  }

  /**
   * Returns the time by which the request must have ended.
   *
   * @return the time, in milliseconds
   */
  long deadline() {
    return arrivedAt + request.timeoutMillis();
  }

  /**
   * Returns the time at which the request was last queued.
   *
   * @return the time, in milliseconds
   */
  long queuedAt() {
    return queuedAt;
  }

  /**
   * Records that the request is queued again after a failed attempt.
   *
   * @param now the current time, in milliseconds
   */
  void onRequeued(long now) {
    queuedAt = now;
    events.ifPresent(EventSplitter::restart);
  }

  /**
   * Returns the number of dispatches.
   *
   * @return the number
   */
  int attempts() {
    return attempts;
  }

  /**
   * Returns the attempt in flight.
   *
   * @return the attempt, or empty while the request waits
   */
  Optional<Attempt> attempt() {
    return attempt;
  }

  /**
   * Records the start of an attempt.
   *
   * @param started the attempt
   */
  void start(Attempt started) {
    attempt = Optional.of(started);
    attempts++;
  }

  /**
   * Records that the attempt in flight has failed.
   *
   * @param ran whether the attempt was executed
   */
  void attemptFailed(Ran ran) {
    attempt.ifPresent(failed -> failedTargets.add(failed.target()));
    attempt = Optional.empty();
    mayHaveRun |= ran != Ran.NO;
  }

  /**
   * Returns whether the request has been executed, as far as this router knows.
   *
   * @return {@code NO} only when no attempt was executed and none is in flight, else {@code
   *     UNKNOWN}
   */
  Ran ran() {
    return mayHaveRun || attempt.isPresent() ? Ran.UNKNOWN : Ran.NO;
  }

  /**
   * Returns whether an attempt failed at a target.
   *
   * @param target the target
   * @return true when it did
   */
  boolean hasFailedAt(String target) {
    return failedTargets.contains(target);
  }

  /**
   * Returns whether the status and headers have been sent to the caller.
   *
   * @return true once they have been sent
   */
  boolean headSent() {
    return headSent;
  }

  /**
   * Records that the status and headers have been sent to the caller.
   *
   * @param eventStream whether server-sent events follow
   */
  void recordHeadSent(boolean eventStream) {
    headSent = true;
    if (eventStream) {
      events = Optional.of(new EventSplitter());
    }
  }

  /**
   * Returns the splitter of the event stream.
   *
   * @return the splitter, or empty when the answer is not an event stream
   */
  Optional<EventSplitter> events() {
    return events;
  }

  /**
   * Adds body bytes that were forwarded to the caller's connection.
   *
   * @param bytes the number of bytes
   */
  void addForwardedBytes(long bytes) {
    forwardedBytes += bytes;
  }

  /**
   * Adds body bytes that the caller has consumed.
   *
   * @param bytes the number of bytes
   */
  void addConsumedBytes(long bytes) {
    consumedBytes += bytes;
  }

  /**
   * Returns the number of body bytes forwarded to the caller's connection.
   *
   * @return the number of bytes
   */
  long forwardedBytes() {
    return forwardedBytes;
  }

  /**
   * Returns the number of body bytes that the caller has consumed.
   *
   * @return the number of bytes
   */
  long consumedBytes() {
    return consumedBytes;
  }
}

package org.almondslip.routing;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.almondslip.catalog.Flow;
import org.almondslip.error.Ran;

/** Progress of one caller's request over all its attempts. */
final class PendingRequest {

  /** Request as the caller sent it; without its body after its end. */
  private CallerRequest request;

  /** Flow of the request. */
  private final Flow flow;

  /** Hash of organisation, pool and body. */
  private final long fingerprint;

  /** Whether running it more than once does no harm. */
  private final boolean idempotent;

  /** Time of arrival, in milliseconds. */
  private final long arrivedAt;

  /** Targets at which an attempt failed. */
  private final Set<String> failedTargets = new HashSet<>();

  /** Cutter of the event stream, present once a stream's head has been passed. */
  private Optional<EventSplitter> events = Optional.empty();

  /** Attempt in flight. */
  private Optional<Attempt> attempt = Optional.empty();

  /** Time since which the request waits in its queue, in milliseconds. */
  private long queuedAt;

  /** Number of dispatches. */
  private int attempts;

  /** Whether an attempt ended without the certainty that it did not run. */
  private boolean mayHaveRun;

  /** Whether the caller has got a status. */
  private boolean headSent;

  /** Body bytes passed to the caller's side. */
  private long forwardedBytes;

  /** Body bytes that the caller has consumed. */
  private long consumedBytes;

  /**
   * Creates a request that has not been queued.
   *
   * @param request the request as the caller sent it
   * @param flow the flow
   * @param fingerprint the hash of organisation, pool and body
   * @param idempotent whether running it more than once does no harm
   * @param now the current time, in milliseconds
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

  /** Releases the body of a request that has ended. Its attempt may still wait for its end. */
  void releaseBody() {
    request = request.withoutBody();
  }

  /**
   * Returns the flow.
   *
   * @return the flow
   */
  Flow flow() {
    return flow;
  }

  /**
   * Returns the hash of organisation, pool and body.
   *
   * @return the fingerprint
   */
  long fingerprint() {
    return fingerprint;
  }

  /**
   * Returns whether running the request more than once does no harm.
   *
   * @return true when it is idempotent
   */
  boolean idempotent() {
    return idempotent;
  }

  /**
   * Returns the time of arrival.
   *
   * @return the time in milliseconds
   */
  long arrivedAt() {
    return arrivedAt;
  }

  /**
   * Returns the time by which the request must have ended.
   *
   * @return the time in milliseconds
   */
  long deadline() {
    return arrivedAt + request.timeoutMillis();
  }

  /**
   * Returns the time since which the request waits.
   *
   * @return the time in milliseconds
   */
  long queuedAt() {
    return queuedAt;
  }

  /**
   * Starts a new wait after a failed attempt.
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
   * Starts an attempt.
   *
   * @param started the attempt
   */
  void start(Attempt started) {
    attempt = Optional.of(started);
    attempts++;
  }

  /**
   * Ends the attempt in flight without a whole answer.
   *
   * @param ran whether the attempt has run
   */
  void attemptFailed(Ran ran) {
    attempt.ifPresent(failed -> failedTargets.add(failed.target()));
    attempt = Optional.empty();
    mayHaveRun |= ran != Ran.NO;
  }

  /**
   * Returns whether the request has run as far as this router can tell.
   *
   * @return {@code NO} only when every attempt certainly has not run and none is in flight
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
   * Returns whether the caller has got a status.
   *
   * @return true when the head has been passed
   */
  boolean headSent() {
    return headSent;
  }

  /**
   * Notes that the caller has got a status.
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
   * Returns the cutter of the event stream.
   *
   * @return the cutter, or empty when the answer is not an event stream
   */
  Optional<EventSplitter> events() {
    return events;
  }

  /**
   * Counts body bytes passed to the caller's side.
   *
   * @param bytes the number of bytes
   */
  void addForwardedBytes(long bytes) {
    forwardedBytes += bytes;
  }

  /**
   * Counts body bytes that the caller has consumed.
   *
   * @param bytes the number of bytes
   */
  void addConsumedBytes(long bytes) {
    consumedBytes += bytes;
  }

  /**
   * Returns the body bytes passed to the caller's side.
   *
   * @return the number of bytes
   */
  long forwardedBytes() {
    return forwardedBytes;
  }

  /**
   * Returns the body bytes that the caller has consumed.
   *
   * @return the number of bytes
   */
  long consumedBytes() {
    return consumedBytes;
  }
}

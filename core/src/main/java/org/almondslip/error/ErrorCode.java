package org.almondslip.error;

import java.util.Arrays;
import java.util.Optional;

/**
 * Stable codes of all errors that callers and operators see.
 *
 * <p>A code keeps its name and meaning across releases; the status is the one of the HTTP answer.
 */
public enum ErrorCode {
  /** The request is malformed. */
  BAD_REQUEST("bad-request", 400, "The request is malformed"),
  /** The API key or operator key is missing or wrong. */
  UNAUTHORIZED("unauthorized", 401, "The key is missing or wrong"),
  /** The organisation may not use any target of the pool. */
  POOL_NOT_REACHABLE("pool-not-reachable", 403, "The organisation may not use this pool"),
  /** Nothing exists at this path. */
  NOT_FOUND("not-found", 404, "Nothing exists here"),
  /** No target serves this model or service. */
  UNKNOWN_POOL("unknown-pool", 404, "No target serves this model or service"),
  /** The method is not allowed at this path. */
  METHOD_NOT_ALLOWED("method-not-allowed", 405, "The method is not allowed here"),
  /** The caller sent its request too slowly. */
  REQUEST_TIMEOUT("request-timeout", 408, "The request arrived too slowly"),
  /** Another request with this idempotency key is running. */
  STILL_RUNNING("still-running", 409, "A request with this idempotency key is running"),
  /** An earlier run under this idempotency key has an unknown outcome. */
  OUTCOME_UNKNOWN("outcome-unknown", 409, "It is not known whether the request has run"),
  /** The ticket is older than the state that it would replace. */
  TICKET_CONFLICT("ticket-conflict", 409, "The ticket's number is not above the stored one"),
  /** The body is larger than the limit. */
  BODY_TOO_LARGE("body-too-large", 413, "The body is too large"),
  /** The idempotency key was used with a different request. */
  IDEMPOTENCY_KEY_REUSED(
      "idempotency-key-reused", 422, "The idempotency key belongs to another request"),
  /** The request has crashed targets and is refused for good. */
  REQUEST_CRASHES_TARGETS(
      "request-crashes-targets", 422, "The request has crashed targets and is refused"),
  /** The ticket has findings. */
  TICKET_INVALID("ticket-invalid", 422, "The ticket is not valid"),
  /** The queue of the organisation is full. */
  ORGANISATION_QUEUE_FULL("organisation-queue-full", 429, "The organisation's queue is full"),
  /** The headers are larger than the limit. */
  HEADERS_TOO_LARGE("headers-too-large", 431, "The headers are too large"),
  /** The caller has closed its connection. */
  CANCELLED("cancelled", 499, "The caller has gone"),
  /** A fault inside the fleet. */
  INTERNAL("internal", 500, "An internal error occurred"),
  /** The target closed the connection or broke its protocol. */
  TARGET_FAILED("target-failed", 502, "The target failed"),
  /** The target could not be connected, so the request has not run. */
  TARGET_UNREACHABLE("target-unreachable", 502, "The target cannot be reached"),
  /** The agent that ran the request was lost. */
  AGENT_LOST("agent-lost", 502, "The process beside the target was lost"),
  /** A stream ended early and could not be resumed. */
  STREAM_INTERRUPTED("stream-interrupted", 502, "The stream was interrupted"),
  /** The queue of the router is full. */
  ROUTER_OVERLOADED("router-overloaded", 503, "The router is overloaded"),
  /** The expected wait is longer than the deadline allows. */
  DEADLINE_TOO_SHORT("deadline-too-short", 503, "The expected wait exceeds the deadline"),
  /** The process is shutting down. */
  DRAINING("draining", 503, "The process is shutting down"),
  /** The process has no catalog yet. */
  NOT_READY("not-ready", 503, "The process is not ready"),
  /** No target that the organisation may use is up. */
  NO_TARGET("no-target", 503, "No target is available"),
  /** The claim of an idempotency key could not be written. */
  ORDER_STORE_UNAVAILABLE("order-store-unavailable", 503, "Claims cannot be written now"),
  /** The table service could not be reached. */
  STORE_UNAVAILABLE("store-unavailable", 503, "The table service is not available"),
  /** The request did not start before its deadline. */
  DEADLINE_EXCEEDED("deadline-exceeded", 504, "The deadline has passed"),
  /** The target made no progress in time. */
  TARGET_TIMEOUT("target-timeout", 504, "The target made no progress in time"),
  /** Settings have findings; the process does not start. */
  SETTINGS_INVALID("settings-invalid", 500, "The settings are not valid"),
  /** A peer broke the inner protocol. */
  PROTOCOL_VIOLATION("protocol-violation", 500, "A peer broke the inner protocol");

  /** Name in documents and on the wire. */
  private final String label;

  /** Status of the HTTP answer. */
  private final int status;

  /** One-line summary for people. */
  private final String title;

  /**
   * Creates a code.
   *
   * @param label the name in documents and on the wire
   * @param status the status of the HTTP answer
   * @param title a one-line summary for people
   */
  ErrorCode(String label, int status, String title) {
    this.label = label;
    this.status = status;
    this.title = title;
  }

  /**
   * Returns the name in documents and on the wire.
   *
   * @return the name
   */
  public String label() {
    return label;
  }

  /**
   * Returns the status of the HTTP answer.
   *
   * @return the status
   */
  public int status() {
    return status;
  }

  /**
   * Returns a one-line summary for people.
   *
   * @return the summary
   */
  public String title() {
    return title;
  }

  /**
   * Finds the code with a name.
   *
   * @param label the name
   * @return the code, or empty when no code has this name
   */
  public static Optional<ErrorCode> ofLabel(String label) {
    return Arrays.stream(values()).filter(code -> code.label.equals(label)).findFirst();
  }
}

package org.almondslip.error;

import java.util.Arrays;
import java.util.Optional;

/**
 * Stable codes of all errors that are reported to callers and operators.
 *
 * <p>The label and meaning of a code do not change between releases.
 */
public enum ErrorCode {
  /** The request is malformed. */
  BAD_REQUEST("bad-request", 400, "The request is malformed"),
  /** The API key or operator key is missing or wrong. */
  UNAUTHORIZED("unauthorized", 401, "The key is missing or wrong"),
  /** The organisation is not permitted to use any target of the pool. */
  POOL_NOT_REACHABLE("pool-not-reachable", 403, "The organisation may not use this pool"),
  /** No resource exists at this path. */
  NOT_FOUND("not-found", 404, "Nothing exists here"),
  /** No target serves this model or service. */
  UNKNOWN_POOL("unknown-pool", 404, "No target serves this model or service"),
  /** The method is not allowed at this path. */
  METHOD_NOT_ALLOWED("method-not-allowed", 405, "The method is not allowed here"),
  /** The request was not received in time. */
  REQUEST_TIMEOUT("request-timeout", 408, "The request arrived too slowly"),
  /** Another request with the same idempotency key is running. */
  STILL_RUNNING("still-running", 409, "A request with this idempotency key is running"),
  /** The outcome of an earlier request with the same idempotency key is unknown. */
  OUTCOME_UNKNOWN("outcome-unknown", 409, "It is not known whether the request has run"),
  /** The ticket's number is not higher than that of the state it would replace. */
  TICKET_CONFLICT("ticket-conflict", 409, "The ticket's number is not above the stored one"),
  /** The body exceeds the size limit. */
  BODY_TOO_LARGE("body-too-large", 413, "The body is too large"),
  /** The idempotency key was already used for a different request. */
  IDEMPOTENCY_KEY_REUSED(
      "idempotency-key-reused", 422, "The idempotency key belongs to another request"),
  /** The request has crashed targets and is refused permanently. */
  REQUEST_CRASHES_TARGETS(
      "request-crashes-targets", 422, "The request has crashed targets and is refused"),
  /** The ticket failed validation. */
  TICKET_INVALID("ticket-invalid", 422, "The ticket is not valid"),
  /** The queue of the organisation is full. */
  ORGANISATION_QUEUE_FULL("organisation-queue-full", 429, "The organisation's queue is full"),
  /** The headers exceed the size limit. */
  HEADERS_TOO_LARGE("headers-too-large", 431, "The headers are too large"),
  /** The caller closed its connection. */
  CANCELLED("cancelled", 499, "The caller has gone"),
  /** An internal error occurred. */
  INTERNAL("internal", 500, "An internal error occurred"),
  /** The target closed the connection or violated the protocol. */
  TARGET_FAILED("target-failed", 502, "The target failed"),
  /** No connection to the target could be established, so the request has not run. */
  TARGET_UNREACHABLE("target-unreachable", 502, "The target cannot be reached"),
  /** The agent that ran the request failed or became unreachable. */
  AGENT_LOST("agent-lost", 502, "The process beside the target was lost"),
  /** An event stream ended prematurely and could not be resumed. */
  STREAM_INTERRUPTED("stream-interrupted", 502, "The stream was interrupted"),
  /** The queue of the router is full. */
  ROUTER_OVERLOADED("router-overloaded", 503, "The router is overloaded"),
  /** The prompt contains a segment that has crashed targets, and is refused for some time. */
  PROMPT_QUARANTINED("prompt-quarantined", 503, "A segment of the prompt has crashed targets"),
  /** The expected waiting time exceeds the deadline. */
  DEADLINE_TOO_SHORT("deadline-too-short", 503, "The expected wait exceeds the deadline"),
  /** The process is shutting down. */
  DRAINING("draining", 503, "The process is shutting down"),
  /** The process has not yet received a catalog. */
  NOT_READY("not-ready", 503, "The process is not ready"),
  /** No target that the organisation is permitted to use is available. */
  NO_TARGET("no-target", 503, "No target is available"),
  /** The claim of an idempotency key could not be stored. */
  ORDER_STORE_UNAVAILABLE("order-store-unavailable", 503, "Claims cannot be written now"),
  /** The table service is unavailable. */
  STORE_UNAVAILABLE("store-unavailable", 503, "The table service is not available"),
  /** The request did not start before its deadline. */
  DEADLINE_EXCEEDED("deadline-exceeded", 504, "The deadline has passed"),
  /** The target made no progress within the time limit. */
  TARGET_TIMEOUT("target-timeout", 504, "The target made no progress in time"),
  /** The settings failed validation, so the process does not start. */
  SETTINGS_INVALID("settings-invalid", 500, "The settings are not valid"),
  /** A peer violated the internal protocol. */
  PROTOCOL_VIOLATION("protocol-violation", 500, "A peer broke the inner protocol");

  private final String label;

  private final int status;

  private final String title;

  ErrorCode(String label, int status, String title) {
    this.label = label;
    this.status = status;
    this.title = title;
  }

  /**
   * Returns the name of the code in documents and on the wire.
   *
   * @return the label
   */
  public String label() {
    return label;
  }

  /**
   * Returns the status of the HTTP response.
   *
   * @return the HTTP status code
   */
  public int status() {
    return status;
  }

  /**
   * Returns a human-readable summary of the error in one line.
   *
   * @return the title
   */
  public String title() {
    return title;
  }

  /**
   * Returns the code with the given label.
   *
   * @param label the label
   * @return the code, or empty if the label is unknown
   */
  public static Optional<ErrorCode> ofLabel(String label) {
    return Arrays.stream(values()).filter(code -> code.label.equals(label)).findFirst();
  }
}

package org.almondslip.standins.target;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/** One call at a target: the request, its body and the answer. */
final class Call {

  /** Header by which the agent names the organisation that pays. */
  static final String ORGANISATION_HEADER = "X-Organisation";

  /** Request of the HTTP server. */
  private final HttpServerRequest request;

  /** Body of the request. */
  private final Buffer body;

  /** Whether the connection was told to go silent. */
  private final BooleanSupplier silent;

  /**
   * Creates a call.
   *
   * @param request the request of the HTTP server
   * @param body the body of the request
   * @param silent whether the connection was told to go silent
   */
  Call(HttpServerRequest request, Buffer body, BooleanSupplier silent) {
    this.request = request;
    this.body = body;
    this.silent = silent;
  }

  /**
   * Returns the method and the path.
   *
   * @return both, separated by a space
   */
  String route() {
    return request.method().name() + " " + request.path();
  }

  /**
   * Returns the method.
   *
   * @return the method
   */
  String method() {
    return request.method().name();
  }

  /**
   * Returns the path with the query.
   *
   * @return the path with the query
   */
  String uri() {
    return request.uri();
  }

  /**
   * Returns a header.
   *
   * @param name the name of the header
   * @return its value, or empty when it is missing
   */
  Optional<String> header(String name) {
    return Optional.ofNullable(request.getHeader(name));
  }

  /**
   * Returns the organisation that pays.
   *
   * @return the organisation, {@code unknown} when the header is missing
   */
  String organisation() {
    return header(ORGANISATION_HEADER).orElse("unknown");
  }

  /**
   * Returns the body.
   *
   * @return the body as text
   */
  String body() {
    return body.toString();
  }

  /**
   * Runs an action when the connection closes before the answer has ended.
   *
   * @param action the action
   */
  void onDisconnect(Runnable action) {
    request.response().closeHandler(closed -> action.run());
  }

  /** Sends the head of a stream of server-sent events. */
  void beginEvents() {
    if (!silent.getAsBoolean()) {
      request
          .response()
          .setChunked(true)
          .putHeader("Content-Type", "text/event-stream")
          .putHeader("Cache-Control", "no-cache")
          .writeHead();
    }
  }

  /**
   * Sends a piece of the answer.
   *
   * @param text the text to send
   */
  void write(String text) {
    if (!silent.getAsBoolean() && !request.response().closed()) {
      request.response().write(text);
    }
  }

  /** Ends a streamed answer. */
  void end() {
    if (!silent.getAsBoolean() && !request.response().closed()) {
      request.response().end();
    }
  }

  /**
   * Sends a whole answer.
   *
   * @param status the status
   * @param json the body
   */
  void end(int status, JsonNode json) {
    if (!silent.getAsBoolean() && !request.response().closed()) {
      request
          .response()
          .setStatusCode(status)
          .putHeader("Content-Type", "application/json")
          .end(json.toString());
    }
  }

  /** Closes the connection without ending the answer. */
  void reset() {
    request.connection().close();
  }
}

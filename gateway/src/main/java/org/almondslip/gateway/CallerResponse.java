package org.almondslip.gateway;

import com.google.protobuf.ByteString;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.util.Locale;
import java.util.OptionalLong;
import org.almondslip.error.ErrorCode;

/** Response to a request of a caller. */
final class CallerResponse {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final HttpServerRequest request;

  private final boolean closesConnection;

  private boolean started;

  private boolean ended;

  /**
   * Creates a response that has not started.
   *
   * @param request the request
   * @param closesConnection whether the response asks the caller to close the connection
   */
  CallerResponse(HttpServerRequest request, boolean closesConnection) {
    this.request = request;
    this.closesConnection = closesConnection;
  }

  /** Returns whether the response head has been sent. */
  boolean started() {
    return started;
  }

  /** Returns whether nothing more is sent. */
  boolean ended() {
    return ended;
  }

  /**
   * Sends a complete response of a target.
   *
   * @param status the status code
   * @param headers the response headers of the target
   * @param body the body
   * @return completes when the response has been written or the caller has gone
   */
  Future<Void> send(int status, MultiMap headers, Buffer body) {
    HttpServerResponse response = start(status, headers);
    ended = true;
    return response.end(body);
  }

  /**
   * Sends the head of a streamed response.
   *
   * @param status the status code
   * @param headers the response headers of the target
   */
  void startStream(int status, MultiMap headers) {
    start(status, headers).setChunked(true);
  }

  /**
   * Sends a part of a streamed body.
   *
   * @param data the data
   * @return true when the write queue is full and the target has to be paused
   */
  boolean write(ByteString data) {
    HttpServerResponse response = request.response();
    response.write(Buffer.buffer(data.toByteArray()));
    return response.writeQueueFull();
  }

  /** Ends a streamed response. */
  void endStream() {
    ended = true;
    request.response().end();
  }

  /** Marks the response as ended when another response replaces it or the caller has gone. */
  void abandon() {
    ended = true;
  }

  /** Closes the connection, so that a partly sent response cannot appear complete. */
  void abort() {
    ended = true;
    request.connection().close();
  }

  /**
   * Sends an error of this router. Closes the connection when a response has already started.
   *
   * @param code the code of the error
   * @param detail the explanation, in one sentence
   * @param retryAfterMillis the time after which the caller may retry, in milliseconds
   */
  void fail(ErrorCode code, String detail, OptionalLong retryAfterMillis) {
    if (ended || request.response().ended() || request.response().closed()) {
      ended = true;
      return;
    }
    if (started) {
      abort();
      return;
    }
    started = true;
    ended = true;
    HttpServerResponse response = request.response().setStatusCode(code.status());
    retryAfterMillis.ifPresent(
        millis ->
            response.putHeader(
                "Retry-After", String.format(Locale.ROOT, "%.2f", millis / MILLIS_PER_SECOND)));
    if (closesConnection) {
      response.putHeader("Connection", "close");
    }
    response
        .putHeader("Content-Type", "application/json")
        .end(new JsonObject().put("code", code.label()).put("detail", detail).toBuffer());
  }

  private HttpServerResponse start(int status, MultiMap headers) {
    started = true;
    HttpServerResponse response = request.response().setStatusCode(status);
    headers.forEach(
        (name, value) -> {
          if (!HopByHopHeaders.isHopByHop(name)) {
            response.headers().add(name, value);
          }
        });
    if (closesConnection) {
      response.putHeader("Connection", "close");
    }
    return response;
  }
}

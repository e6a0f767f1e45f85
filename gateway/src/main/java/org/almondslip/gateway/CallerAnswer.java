package org.almondslip.gateway;

import com.google.protobuf.ByteString;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.util.Locale;
import java.util.OptionalLong;
import org.almondslip.error.ErrorCode;

/** Answer to one caller. */
final class CallerAnswer {

  /** Milliseconds in a second. */
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Request that is answered. */
  private final HttpServerRequest request;

  /** Whether the connection is closed after the answer. */
  private final boolean closing;

  /** Whether an answer has begun. */
  private boolean begun;

  /** Whether the answer has ended. */
  private boolean ended;

  /**
   * Creates an answer that has not begun.
   *
   * @param request the request
   * @param closing whether the connection is closed after the answer
   */
  CallerAnswer(HttpServerRequest request, boolean closing) {
    this.request = request;
    this.closing = closing;
  }

  /**
   * Returns whether an answer has begun.
   *
   * @return true when the head was sent
   */
  boolean begun() {
    return begun;
  }

  /**
   * Returns whether the answer has ended.
   *
   * @return true when nothing more is sent
   */
  boolean ended() {
    return ended;
  }

  /**
   * Sends a whole answer of a target.
   *
   * @param status the status
   * @param headers the headers of the target
   * @param body the body
   */
  void send(int status, MultiMap headers, Buffer body) {
    HttpServerResponse response = begin(status, headers);
    ended = true;
    response.end(body);
  }

  /**
   * Starts a stream.
   *
   * @param status the status
   * @param headers the headers of the target
   */
  void startStream(int status, MultiMap headers) {
    begin(status, headers).setChunked(true);
  }

  /**
   * Sends a part of a stream.
   *
   * @param data the part
   * @return true when the caller reads too slowly and the target has to wait
   */
  boolean write(ByteString data) {
    HttpServerResponse response = request.response();
    response.write(Buffer.buffer(data.toByteArray()));
    return response.writeQueueFull();
  }

  /** Ends a complete stream. */
  void endStream() {
    ended = true;
    request.response().end();
  }

  /** Gives up an answer that another one replaces or that nobody waits for. */
  void abandon() {
    ended = true;
  }

  /** Closes the connection so that the part of the answer that was sent cannot look complete. */
  void abort() {
    ended = true;
    request.connection().close();
  }

  /**
   * Sends an error of this router.
   *
   * @param code the code of the error
   * @param detail what happened, in one sentence
   * @param retryAfterMillis the time after which the caller may come back, in milliseconds
   */
  void fail(ErrorCode code, String detail, OptionalLong retryAfterMillis) {
    if (ended || request.response().ended() || request.response().closed()) {
      ended = true;
      return;
    }
    if (begun) {
      abort();
      return;
    }
    begun = true;
    ended = true;
    HttpServerResponse response = request.response().setStatusCode(code.status());
    retryAfterMillis.ifPresent(
        millis ->
            response.putHeader(
                "Retry-After", String.format(Locale.ROOT, "%.2f", millis / MILLIS_PER_SECOND)));
    if (closing) {
      response.putHeader("Connection", "close");
    }
    response
        .putHeader("Content-Type", "application/json")
        .end(new JsonObject().put("code", code.label()).put("detail", detail).toBuffer());
  }

  /**
   * Sends the head of an answer.
   *
   * @param status the status
   * @param headers the headers of the target
   * @return the response
   */
  private HttpServerResponse begin(int status, MultiMap headers) {
    begun = true;
    HttpServerResponse response = request.response().setStatusCode(status);
    headers.forEach(
        (name, value) -> {
          if (!ConnectionHeaders.isConnectionHeader(name)) {
            response.headers().add(name, value);
          }
        });
    if (closing) {
      response.putHeader("Connection", "close");
    }
    return response;
  }
}

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

/** Response to a request of a caller. */
final class CallerResponse {

  /** Receives what becomes of the connection of the caller. */
  interface Listener extends ResponseMemory.Listener {

    /** Listener of a response without a target. */
    Listener NONE =
        new Listener() {
          @Override
          public void onDisconnected() {}

          @Override
          public void onResume() {}

          @Override
          public void onCutOff(ResponseMemory.CutOffReason reason, long bytes) {}
        };

    /** Handles the end of the connection of the caller. */
    void onDisconnected();
  }

  private static final double MILLIS_PER_SECOND = 1_000;

  private final HttpServerRequest request;

  private final boolean closesConnection;

  private final OutboundBuffer outbound;

  private Listener listener = Listener.NONE;

  private boolean started;

  private boolean ended;

  /**
   * Creates a response that has not started.
   *
   * @param request the request
   * @param closesConnection whether the response asks the caller to close the connection
   * @param memory the memory of unsent data
   */
  CallerResponse(HttpServerRequest request, boolean closesConnection, ResponseMemory memory) {
    this.request = request;
    this.closesConnection = closesConnection;
    this.outbound =
        new OutboundBuffer(
            request.response(),
            memory,
            new ResponseMemory.Listener() {
              @Override
              public void onResume() {
                listener.onResume();
              }

              @Override
              public void onCutOff(ResponseMemory.CutOffReason reason, long bytes) {
                listener.onCutOff(reason, bytes);
                reset();
              }
            });
    request.response().closeHandler(ignored -> onDisconnected());
    request.response().exceptionHandler(ignored -> onDisconnected());
  }

  /**
   * Replaces the listener.
   *
   * @param next the listener
   */
  void setListener(Listener next) {
    listener = next;
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
   * @param memory the memory of the body, which the response releases
   */
  void send(int status, MultiMap headers, Buffer body, BodyMemory.Reservation memory) {
    start(status, headers);
    ended = true;
    outbound.end(body, memory);
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
   * @return true when the caller holds so much memory that the target has to be paused
   */
  boolean write(ByteString data) {
    return outbound.write(data);
  }

  /** Ends a streamed response when the caller has read the rest of it. */
  void endStream() {
    ended = true;
    outbound.end();
  }

  /**
   * Runs a task when nothing of the response waits for the caller, now if nothing does.
   *
   * @param task the task
   */
  void whenPassedOn(Runnable task) {
    outbound.whenPassedOn(task);
  }

  /** Marks the response as ended when another response replaces it or the caller has gone. */
  void abandon() {
    ended = true;
  }

  /** Closes the connection, so that a partly sent response cannot appear complete. */
  void abort() {
    if (outbound.hasUnsentData()) {
      reset();
    } else {
      ended = true;
      outbound.close();
      request.connection().close();
    }
  }

  private void reset() {
    ended = true;
    outbound.close();
    Connections.reset(request.connection());
  }

  private void onDisconnected() {
    outbound.close();
    listener.onDisconnected();
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
    outbound.close();
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

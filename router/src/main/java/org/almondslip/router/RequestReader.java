package org.almondslip.router;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.Consumer;
import org.almondslip.error.AlmondslipException;
import org.almondslip.error.ErrorCode;
import org.almondslip.routing.CallerRequest;
import org.almondslip.routing.Outcome;

/** Receives the body of one request within the limits of size and time. */
final class RequestReader {

  /**
   * Time for which the rest of a refused body is read and dropped, in milliseconds. Closing at once
   * would reset the connection and the caller could miss the refusal.
   */
  private static final long LINGER_MILLIS = 1_000;

  /** Rough slot time of a request to a plain service, in milliseconds. */
  private static final long SERVICE_HINT_MILLIS = 50;

  /** Event loops. */
  private final Vertx vertx;

  /** Request. */
  private final HttpServerRequest request;

  /** Limits of the API. */
  private final CallerLimits limits;

  /** Bodies that are being received. */
  private final ByteBudget incoming;

  /** Receiver of the body, which releases its bytes unless it throws. */
  private final Consumer<Buffer> receiver;

  /** Called when a request has been refused and its connection can be used again. */
  private final Runnable onRefused;

  /** Body so far. */
  private Buffer body = Buffer.buffer();

  /** Whether the body has been handed over or refused. */
  private boolean done;

  /** Timer of the time limit. */
  private long timer;

  /**
   * Creates a reader.
   *
   * @param vertx the event loops
   * @param request the request
   * @param limits the limits of the API
   * @param incoming the bodies that are being received
   * @param receiver the receiver of the body
   * @param onRefused called when the request has been refused and its connection can be used again
   */
  RequestReader(
      Vertx vertx,
      HttpServerRequest request,
      CallerLimits limits,
      ByteBudget incoming,
      Consumer<Buffer> receiver,
      Runnable onRefused) {
    this.vertx = vertx;
    this.request = request;
    this.limits = limits;
    this.incoming = incoming;
    this.receiver = receiver;
    this.onRefused = onRefused;
  }

  /** Starts to receive. */
  void start() {
    timer = vertx.setTimer(limits.bodyMillis(), id -> onTimeout());
    request.handler(this::onData);
    request.endHandler(ignored -> onEnd());
    request.exceptionHandler(failure -> finish());
    String length = request.getHeader("Content-Length");
    if (length != null && length.length() > String.valueOf(limits.bodyBytes()).length()) {
      refuse(tooLarge());
    }
  }

  /**
   * Refuses the request.
   *
   * @param outcome the refusal
   */
  void refuse(Outcome outcome) {
    if (done) {
      return;
    }
    finish();
    request.response().putHeader("Connection", "close");
    Refusal.send(request.response(), outcome);
    vertx.setTimer(LINGER_MILLIS, id -> Aborts.abort(request.connection()));
  }

  /**
   * Builds the request for the decisions.
   *
   * @param caller the number of the caller
   * @param organisation the organisation of the caller
   * @param route what the request names
   * @param request the request
   * @param body the body
   * @param limits the limits of the API
   * @return the request
   */
  static CallerRequest toCallerRequest(
      long caller,
      String organisation,
      Route route,
      HttpServerRequest request,
      Buffer body,
      CallerLimits limits) {
    byte[] bytes = body.getBytes();
    boolean model = route.kind() == CallerRequest.Kind.MODEL;
    ModelCall call = model ? ModelCall.of(bytes) : new ModelCall(route.pool(), false, 0);
    ByteString wrapped = UnsafeByteOperations.unsafeWrap(bytes);
    return new CallerRequest(
        caller,
        organisation,
        call.model(),
        route.kind(),
        request.method().name(),
        route.path(),
        CallerHeaders.toTarget(request.headers()),
        wrapped,
        CallerHeaders.timeoutMillis(request.headers(), limits),
        model ? call.hintMillis() : SERVICE_HINT_MILLIS,
        call.stream(),
        CallerHeaders.idempotencyKey(request.headers()));
  }

  /**
   * Takes a part of the body.
   *
   * @param data the part
   */
  private void onData(Buffer data) {
    if (done) {
      return;
    }
    if (body.length() + data.length() > limits.bodyBytes()) {
      refuse(tooLarge());
      return;
    }
    body.appendBuffer(data);
    if (!incoming.add(data.length())) {
      refuse(
          Outcome.notRun(ErrorCode.ROUTER_OVERLOADED, "too many bodies are being received")
              .withRetryAfter(1));
    }
  }

  /**
   * Hands the body over. It counts as being received until the decisions have counted it, so that
   * the ring to the decision thread holds no more than the limit.
   */
  private void onEnd() {
    if (done) {
      return;
    }
    Buffer whole = body;
    body = Buffer.buffer();
    finish();
    try {
      receiver.accept(whole);
    } catch (AlmondslipException e) {
      incoming.release(whole.length());
      Refusal.send(request.response(), Refusal.of(e));
      onRefused.run();
    }
  }

  /** Refuses a body that arrives too slowly. */
  private void onTimeout() {
    refuse(Outcome.notRun(ErrorCode.REQUEST_TIMEOUT, "the body did not arrive in time"));
  }

  /** Releases what the reader holds. */
  private void finish() {
    if (!done) {
      done = true;
      vertx.cancelTimer(timer);
      incoming.release(body.length());
      body = Buffer.buffer();
    }
  }

  /**
   * Creates the refusal of a body above the limit.
   *
   * @return the refusal
   */
  private Outcome tooLarge() {
    return Outcome.notRun(
        ErrorCode.BODY_TOO_LARGE, "the body exceeds " + limits.bodyBytes() + " bytes");
  }
}

package org.almondslip.gateway;

import com.google.protobuf.ByteString;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import java.util.Optional;
import org.almondslip.pace.ColdPermit;
import org.almondslip.placement.SpeedMeasurement;
import org.almondslip.placement.TargetLoad;

/** Sends a request to a target once and forwards the response. */
final class TargetAttempt {

  private static final int OK_STATUS = 200;

  /** Status of a target that is not the one the request was meant for. */
  private static final int MISDIRECTED_STATUS = 421;

  /** Lowest status code that is not a success. */
  private static final int MIN_ERROR_STATUS = 300;

  private static final int MIN_SERVER_ERROR_STATUS = 500;

  private final ForwardingContext context;

  private final InboundRequest inbound;

  private final TargetLoad target;

  /** Id of the last event that was forwarded before this attempt. */
  private final Optional<String> lastEventId;

  /** Whether the attempt continues a stream whose response head has been sent. */
  private final boolean continuesStream;

  private final TargetAttemptListener listener;

  private final AttemptLoad load;

  private final long startedAt;

  /** Expected time to the first event in milliseconds. */
  private final double expectedMillis;

  /** Permit that was taken when the request was dispatched. */
  private final ColdPermit permit;

  private final SpeedMeasurement measurement;

  private Optional<TargetConnectionPool.Lease> lease = Optional.empty();

  /** Writer of the request, empty until the request is sent. */
  private Optional<RequestBodyWriter> writer = Optional.empty();

  private Optional<HttpClientResponse> response = Optional.empty();

  /** Memory of a response that is forwarded when it is complete, or of an incomplete event. */
  private final BodyMemory.Reservation memory;

  private final EventBuffer events;

  private final AttemptProgress progress;

  private boolean ended;

  /**
   * Creates an attempt and adds its load to the target.
   *
   * @param context the shared components of the router
   * @param inbound the request
   * @param target the target
   * @param lastEventId the id of the last event that was forwarded
   * @param continuesStream whether the response head has been sent
   * @param listener the receiver of the outcome
   */
  TargetAttempt(
      ForwardingContext context,
      InboundRequest inbound,
      TargetLoad target,
      Optional<String> lastEventId,
      boolean continuesStream,
      TargetAttemptListener listener) {
    this.context = context;
    this.inbound = inbound;
    this.target = target;
    this.lastEventId = lastEventId;
    this.continuesStream = continuesStream;
    this.listener = listener;
    this.startedAt = context.clock().millis();
    this.permit = target.pace().permit(startedAt);
    this.expectedMillis = context.expectedMillis(target, inbound.decoded().prompt());
    this.measurement = context.measure(target, inbound.decoded().prompt());
    this.load = new AttemptLoad(context.dispatcher(), target, inbound.decoded().prompt());
    context.peerReporter().onSent(target, inbound.decoded().prompt());
    this.memory = context.bodyMemory().reserve();
    this.events = new EventBuffer(memory);
    this.progress = new AttemptProgress(context, inbound, target);
  }

  /** Acquires a connection and sends the request. */
  void start() {
    Future<TargetConnectionPool.Lease> connection =
        context.connections().acquire(target.record(), inbound.maxIdleMillis());
    connection.onComplete(
        acquired -> {
          if (acquired.failed()) {
            onNotConnected();
          } else if (ended) {
            acquired.result().discard();
          } else {
            lease = Optional.of(acquired.result());
            unlessWithheld(() -> send(acquired.result()));
          }
        });
  }

  /** Resumes a response that was paused since the caller reads too slowly. */
  void resume() {
    response.ifPresent(HttpClientResponse::resume);
  }

  /** Closes the connection, which makes the target cancel the request. */
  void cancel() {
    if (!ended) {
      memory.release();
      end();
      lease.ifPresent(TargetConnectionPool.Lease::discard);
    }
  }

  /** Continues with the next step, unless the target must not get the request any more. */
  private void unlessWithheld(Runnable next) {
    listener.withholdReason(target, permit).ifPresentOrElse(this::onNotSent, next);
  }

  private void send(TargetConnectionPool.Lease acquired) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(inbound.method())
            .setURI(inbound.uri())
            .setHost(target.record().host())
            .setPort(target.record().port())
            .setHeaders(TargetHeaders.of(inbound, context, target.record().id(), lastEventId));
    acquired
        .request(options)
        .onFailure(failure -> onNotConnected())
        .onSuccess(
            request -> {
              if (ended) {
                acquired.discard();
              } else {
                sendBody(request);
              }
            });
  }

  private void sendBody(HttpClientRequest request) {
    request
        .response()
        .onFailure(failure -> onConnectionLost("the connection ended before an answer"))
        .onSuccess(this::onResponse);
    request.exceptionHandler(failure -> onConnectionLost("the connection failed"));
    unlessWithheld(() -> writer = Optional.of(RequestBodyWriter.write(request, inbound.body())));
  }

  private void onResponse(HttpClientResponse received) {
    if (ended) {
      return;
    }
    response = Optional.of(received);
    progress.onHead();
    HeaderCodec.ResponseHeaders headers = context.codec().readResponse(received.headers());
    context.targetNotices().read(inbound, target, received.statusCode(), headers);
    if (!headers.requestId().orElse("").equals(inbound.decoded().requestId())) {
      // Also applies to a response without an id, which may be a late copy of an earlier one.
      onResponseLost("the target answered another request");
      return;
    }
    if (headers.notExecuted()) {
      onRefusal(received);
      return;
    }
    if (!headers.signed()) {
      onResponseLost("the target's answer has no signature");
      return;
    }
    if (continuesStream && received.statusCode() != OK_STATUS) {
      // The response head has been sent, so an error can no longer be forwarded.
      target.onFailure(context.clock().millis());
      onResponseLost("the target answered the rest of the stream with an error");
    } else if (received.statusCode() >= MIN_ERROR_STATUS) {
      onErrorStatus(received);
    } else if (inbound.route().kind().streaming()) {
      forwardStream(received);
    } else {
      forwardComplete(received);
    }
  }

  /**
   * Ends the attempt with a refusal of the target.
   *
   * @param received the response
   */
  private void onRefusal(HttpClientResponse received) {
    if (received.statusCode() != MISDIRECTED_STATUS) {
      target.pace().onRefused(context.clock().millis());
    }
    RefusalBody.discard(received)
        .onComplete(
            result -> {
              if (!ended) {
                end();
                releaseConnection(received, result.succeeded());
                listener.onNotExecuted(target);
              }
            });
  }

  /** Forwards an error response, unless it is a server error and the request is retried. */
  private void onErrorStatus(HttpClientResponse received) {
    collectBody(
        received,
        body -> {
          if (received.statusCode() >= MIN_SERVER_ERROR_STATUS) {
            target.onFailure(context.clock().millis());
          }
          boolean retried =
              received.statusCode() >= MIN_SERVER_ERROR_STATUS
                  && listener.onServerError(received.statusCode());
          if (retried) {
            memory.release();
          } else {
            sendResponse(received, body);
          }
        });
  }

  private void forwardComplete(HttpClientResponse received) {
    collectBody(
        received,
        body -> {
          target.onSuccess();
          onPaceResponse(Double.POSITIVE_INFINITY);
          measurement.onComplete(context.clock().millis());
          sendResponse(received, body);
        });
  }

  /** Sends a complete response to the caller. Not possible after a stream has started. */
  private void sendResponse(HttpClientResponse received, Buffer body) {
    if (listener.response().started()) {
      memory.release();
      listener.onResponseLost(target, "the stream could not be continued");
      return;
    }
    listener.response().send(received.statusCode(), received.headers(), body, memory);
    listener.onComplete(received.statusCode());
  }

  /**
   * Collects the body of a response and releases the connection.
   *
   * @param received the response
   * @param next receives the complete body
   */
  private void collectBody(HttpClientResponse received, java.util.function.Consumer<Buffer> next) {
    Buffer body = Buffer.buffer();
    received.exceptionHandler(failure -> onConnectionLost("the answer was cut off"));
    received.handler(
        data -> {
          if (ended) {
            return;
          }
          if (memory.tryExtend(data.length())) {
            body.appendBuffer(data);
          } else {
            onResponseLost("the answer is larger than the memory for it");
          }
        });
    received.endHandler(
        ignored -> {
          if (ended) {
            return;
          }
          load.onPrefilled();
          progress.onAnswered();
          end();
          releaseConnection(received, true);
          next.accept(body);
        });
  }

  private void forwardStream(HttpClientResponse received) {
    received.exceptionHandler(failure -> onConnectionLost("the stream was cut off"));
    received.handler(
        data -> {
          if (ended) {
            return;
          }
          ByteString complete = events.add(data);
          events.violation().ifPresent(this::onResponseLost);
          forwardEvents(received, complete);
        });
    received.endHandler(
        ignored -> {
          if (!ended) {
            endStream(received);
          }
        });
  }

  /** Forwards complete events, and pauses the response while the caller holds too much memory. */
  private void forwardEvents(HttpClientResponse received, ByteString complete) {
    if (complete.isEmpty()) {
      return;
    }
    progress.onEvents();
    if (load.onPrefilled()) {
      measurement.onFirstEvent(context.clock().millis());
      target.onFirstEvent(context.clock().millis() - startedAt, expectedMillis);
      onPaceResponse(target.isEngine() ? expectedMillis : Double.POSITIVE_INFINITY);
    }
    if (!listener.response().started()) {
      context.decisionLog().recordFirstEvent(inbound);
      listener.response().startStream(received.statusCode(), received.headers());
    }
    EventIds.last(complete).ifPresent(listener::onEventForwarded);
    if (listener.response().write(complete)) {
      received.pause();
    }
  }

  /** Applies the response time to the pace of the target. */
  private void onPaceResponse(double expectedResponseMillis) {
    long now = context.clock().millis();
    target.pace().onResponse(now - startedAt, expectedResponseMillis, now);
  }

  private void endStream(HttpClientResponse received) {
    boolean closeDelimited = HopByHopHeaders.isCloseDelimited(received.headers());
    // The rest of a stream may be empty, but only an explicit end tells that from a crash.
    boolean resumed = continuesStream || lastEventId.isPresent();
    boolean mayBeEmpty = resumed && HopByHopHeaders.isChunked(received.headers());
    if (events.endsWithinEvent() || (!load.isPrefilled() && !mayBeEmpty)) {
      if (closeDelimited) {
        onConnectionLost("the stream ended within an event");
      } else {
        onResponseLost("the stream was ended within an event");
      }
      return;
    }
    if (!listener.response().started()) {
      listener.response().startStream(received.statusCode(), received.headers());
    }
    load.onPrefilled();
    progress.onAnswered();
    target.onSuccess();
    if (!resumed) {
      measurement.onComplete(context.clock().millis());
    }
    memory.release();
    end();
    releaseConnection(received, true);
    listener.response().endStream();
    listener.onComplete(received.statusCode());
  }

  /** Ends an attempt that did not reach the target. */
  private void onNotConnected() {
    if (!ended) {
      target.onFailure(context.clock().millis());
      target.pace().onConnectionFailure(context.clock().millis());
      onNotSent("the target could not be connected");
    }
  }

  private void onNotSent(String reason) {
    if (!ended) {
      end();
      lease.ifPresent(TargetConnectionPool.Lease::discard);
      listener.onNotSent(target, reason);
    }
  }

  /**
   * Ends an attempt whose connection ended within the response, as it does when a target crashes.
   */
  private void onConnectionLost(String reason) {
    if (ended) {
      return;
    }
    Optional<String> violation = lease.flatMap(TargetConnectionPool.Lease::violation);
    if (violation.isEmpty()) {
      target.pace().onConnectionFailure(context.clock().millis());
      progress.onConnectionLost();
    }
    onResponseLost(violation.orElse(reason));
  }

  private void onResponseLost(String reason) {
    if (!ended) {
      long now = context.clock().millis();
      context.decisionLog().logLost(inbound, target, progress.phase(), now - startedAt, reason);
      memory.release();
      target.onFailure(now);
      end();
      lease.ifPresent(TargetConnectionPool.Lease::discard);
      listener.onResponseLost(target, reason);
    }
  }

  /**
   * Returns the connection to the pool, or closes it if the response or the request is incomplete.
   * The target would take the next request for the rest of an incomplete one.
   */
  private void releaseConnection(HttpClientResponse received, boolean complete) {
    boolean sent = writer.map(RequestBodyWriter::sent).orElse(false);
    lease.ifPresent(used -> used.release(received, complete && sent));
  }

  private void end() {
    ended = true;
    load.release();
  }
}

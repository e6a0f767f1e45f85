package org.almondslip.gateway;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import java.util.Optional;
import org.almondslip.placement.TargetLoad;
import org.almondslip.routing.EventSplitter;

/** One send of a request to a target, and the relay of its answer. */
final class TargetCall {

  /** First status that is a failure. */
  private static final int FIRST_FAILURE = 300;

  /** First status that is a failure of the target. */
  private static final int FIRST_TARGET_FAILURE = 500;

  /** What the request needs of its router. */
  private final GatewayParts parts;

  /** Request. */
  private final CallerCall call;

  /** Target. */
  private final TargetLoad target;

  /** Id of the last event that was passed on before this send. */
  private final Optional<String> lastEventId;

  /** Whether this send continues a stream whose head was sent. */
  private final boolean continued;

  /** Receiver of the outcome. */
  private final TargetCallListener listener;

  /** Work that the send puts on the target. */
  private final TargetWork work;

  /** Time of the send in milliseconds. */
  private final long sentAt;

  /** Expected time to the first event in milliseconds. */
  private final double expectedMillis;

  /** Connection. */
  private Optional<TargetConnections.Lease> lease = Optional.empty();

  /** Answer. */
  private Optional<HttpClientResponse> response = Optional.empty();

  /** Cuts a stream after complete events. */
  private final EventSplitter splitter = new EventSplitter();

  /** Whether the send has ended. */
  private boolean done;

  /**
   * Creates a send.
   *
   * @param parts what the request needs of its router
   * @param call the request
   * @param target the target
   * @param lastEventId the id of the last event that was passed on
   * @param continued whether the head of the stream was sent
   * @param listener the receiver of the outcome
   */
  TargetCall(
      GatewayParts parts,
      CallerCall call,
      TargetLoad target,
      Optional<String> lastEventId,
      boolean continued,
      TargetCallListener listener) {
    this.parts = parts;
    this.call = call;
    this.target = target;
    this.lastEventId = lastEventId;
    this.continued = continued;
    this.listener = listener;
    this.sentAt = parts.clock().millis();
    this.expectedMillis = parts.expectedMillis(target, call.decoded().prompt());
    this.work = new TargetWork(parts.dispatcher(), target, call.decoded().prompt());
    parts.peers().onSent(target, call.decoded().prompt());
  }

  /** Sends the request. */
  void start() {
    boolean repeatable = call.route().kind().repeatable();
    Future<TargetConnections.Lease> connection =
        parts.connections().acquire(target.record(), repeatable);
    connection.onComplete(
        acquired -> {
          if (acquired.failed()) {
            notSent();
          } else if (done) {
            acquired.result().discard();
          } else {
            lease = Optional.of(acquired.result());
            send(acquired.result());
          }
        });
  }

  /** Lets the target send on after the caller has read. */
  void resume() {
    response.ifPresent(HttpClientResponse::resume);
  }

  /** Ends the send; the target drops the request when its connection closes. */
  void cancel() {
    if (!done) {
      close();
      lease.ifPresent(TargetConnections.Lease::discard);
    }
  }

  /**
   * Sends the request on a connection.
   *
   * @param held the connection
   */
  private void send(TargetConnections.Lease held) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(call.method())
            .setURI(call.uri())
            .setHost(target.record().host())
            .setPort(target.record().port())
            .setHeaders(TargetHeaders.of(call, parts, target.record().id(), lastEventId));
    held.connection()
        .request(options)
        .onFailure(failure -> notSent())
        .onSuccess(
            request -> {
              if (done) {
                held.discard();
              } else {
                exchange(request);
              }
            });
  }

  /**
   * Sends the body and waits for the answer.
   *
   * @param request the request on its connection
   */
  private void exchange(HttpClientRequest request) {
    request.response().onFailure(failure -> crashed()).onSuccess(this::onResponse);
    request.exceptionHandler(failure -> broken("the connection failed"));
    request.end(call.body());
  }

  /**
   * Takes the head of an answer.
   *
   * @param received the answer
   */
  private void onResponse(HttpClientResponse received) {
    if (done) {
      return;
    }
    response = Optional.of(received);
    parts.crashes().onAnswer(call.fingerprint());
    HeaderCodec.ResponseHeaders head = parts.codec().readResponse(received.headers());
    if (head.requestId().isPresent()
        && !head.requestId().get().equals(call.decoded().requestId())) {
      broken("the target answered another request");
      return;
    }
    if (head.notExecuted()) {
      drain(received, () -> listener.onNotRun(target));
      return;
    }
    if (!head.signed()) {
      broken("the target's answer has no signature");
      return;
    }
    if (received.statusCode() >= FIRST_FAILURE) {
      failure(received);
    } else if (call.route().kind().streaming()) {
      stream(received);
    } else {
      whole(received);
    }
  }

  /**
   * Reads an answer that is dropped, so that the connection can be used again.
   *
   * @param received the answer
   * @param then called when the answer has ended
   */
  private void drain(HttpClientResponse received, Runnable then) {
    received.exceptionHandler(ignored -> {});
    received.endHandler(ignored -> {});
    received
        .end()
        .onComplete(
            ended -> {
              if (done) {
                return;
              }
              close();
              lease.ifPresent(held -> held.release(received, ended.succeeded()));
              then.run();
            });
    received.resume();
  }

  /**
   * Collects a failure of the target and sends the request again or passes the failure on.
   *
   * @param received the answer
   */
  private void failure(HttpClientResponse received) {
    collect(
        received,
        body -> {
          if (received.statusCode() >= FIRST_TARGET_FAILURE) {
            target.onFailure(parts.clock().millis());
          }
          boolean again =
              received.statusCode() >= FIRST_TARGET_FAILURE
                  && listener.onFailureAnswer(received.statusCode());
          if (!again) {
            pass(received, body);
          }
        });
  }

  /**
   * Collects the whole answer and passes it on.
   *
   * @param received the answer
   */
  private void whole(HttpClientResponse received) {
    collect(
        received,
        body -> {
          target.onSuccess();
          pass(received, body);
        });
  }

  /**
   * Passes a complete answer on.
   *
   * @param received the answer
   * @param body the body
   */
  private void pass(HttpClientResponse received, Buffer body) {
    if (listener.answer().begun()) {
      listener.onBroken(target, "the stream could not be continued");
      return;
    }
    listener.answer().send(received.statusCode(), received.headers(), body);
    listener.onComplete(received.statusCode());
  }

  /**
   * Collects the body of an answer.
   *
   * @param received the answer
   * @param then receives the body when it is complete
   */
  private void collect(HttpClientResponse received, java.util.function.Consumer<Buffer> then) {
    Buffer body = Buffer.buffer();
    received.exceptionHandler(failure -> broken("the answer was cut off"));
    received.handler(body::appendBuffer);
    received.endHandler(
        ignored -> {
          if (done) {
            return;
          }
          if (lease.map(TargetConnections.Lease::closed).orElse(true)
              && ConnectionHeaders.isUnframed(received.headers())) {
            broken("the connection was reset before the end of the answer");
            return;
          }
          work.read();
          close();
          lease.ifPresent(held -> held.release(received, true));
          then.accept(body);
        });
  }

  /**
   * Relays a stream.
   *
   * @param received the answer
   */
  private void stream(HttpClientResponse received) {
    received.exceptionHandler(failure -> broken("the stream was cut off"));
    received.handler(
        data -> {
          if (!done) {
            relay(received, splitter.add(UnsafeByteOperations.unsafeWrap(data.getBytes())));
          }
        });
    received.endHandler(
        ignored -> {
          if (!done) {
            endStream(received);
          }
        });
  }

  /**
   * Passes complete events on.
   *
   * @param received the answer
   * @param events the events
   */
  private void relay(HttpClientResponse received, ByteString events) {
    if (events.isEmpty()) {
      return;
    }
    if (work.read()) {
      target.onFirstEvent(parts.clock().millis() - sentAt, expectedMillis);
    }
    if (!listener.answer().begun()) {
      parts.decisions().firstEvent(call);
      listener.answer().startStream(received.statusCode(), received.headers());
    }
    EventIds.last(events).ifPresent(listener::onEvent);
    if (listener.answer().write(events)) {
      received.pause();
    }
  }

  /**
   * Ends a stream.
   *
   * @param received the answer
   */
  private void endStream(HttpClientResponse received) {
    boolean reset =
        lease.map(TargetConnections.Lease::closed).orElse(true)
            && ConnectionHeaders.isUnframed(received.headers());
    if (reset || !splitter.finish().isEmpty() || (!work.isRead() && !continued)) {
      broken("the stream ended within an event");
      return;
    }
    work.read();
    target.onSuccess();
    close();
    lease.ifPresent(held -> held.release(received, true));
    listener.answer().endStream();
    listener.onComplete(received.statusCode());
  }

  /** Ends a send that never reached the target. */
  private void notSent() {
    if (!done) {
      target.onFailure(parts.clock().millis());
      close();
      lease.ifPresent(TargetConnections.Lease::discard);
      listener.onNotSent(target);
    }
  }

  /** Ends a send whose connection broke before an answer. */
  private void crashed() {
    if (!done) {
      parts.peers().onCrash(call.fingerprint(), target);
      broken("the connection ended before an answer");
    }
  }

  /**
   * Ends a send whose answer is lost.
   *
   * @param reason what happened
   */
  private void broken(String reason) {
    if (!done) {
      target.onFailure(parts.clock().millis());
      close();
      lease.ifPresent(TargetConnections.Lease::discard);
      listener.onBroken(target, reason);
    }
  }

  /** Takes the request off the target. */
  private void close() {
    done = true;
    work.end();
  }
}

package org.almondslip.agent;

import com.google.protobuf.ByteString;
import io.vertx.core.AsyncResult;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpClosedException;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import org.almondslip.execution.TargetCall;
import org.almondslip.execution.TargetFailure;
import org.almondslip.execution.TargetFailure.Kind;
import org.almondslip.protocol.wire.AnswerHead;

/**
 * One HTTP call at the target. It is never repeated.
 *
 * <p>The answer is read piece by piece: the next piece is asked for only after the decision thread
 * has handled the one before, so that a slow reader holds back the target and not the memory.
 */
final class Exchange {

  /** Header that asks a model engine to go on after an event. */
  private static final String LAST_EVENT_ID = "Last-Event-ID";

  /** Call to make. */
  private final TargetCall call;

  /** Event loop of the call. */
  private final Context context;

  /** Receiver of the events. */
  private final AgentEvent.Sink events;

  /** Request; used on the event loop, null until the connection is made. */
  private HttpClientRequest request;

  /** Answer; used on the event loop, null until its head has arrived. */
  private HttpClientResponse response;

  /** Whether a byte may have left; used on the event loop. */
  private boolean sent;

  /** Whether the last event has been reported; used on the event loop. */
  private boolean done;

  /** Whether reading is paused; used on the decision thread. */
  private boolean paused;

  /** Whether the next piece has not been asked for because of the pause; decision thread. */
  private boolean owed;

  /**
   * Creates a call that has not started.
   *
   * @param call the call to make
   * @param context the event loop of the call
   * @param events the receiver of the events
   */
  Exchange(TargetCall call, Context context, AgentEvent.Sink events) {
    this.call = call;
    this.context = context;
    this.events = events;
  }

  /**
   * Starts the call.
   *
   * @param client the HTTP client
   * @param target the address of the target
   */
  void start(HttpClient client, RequestOptions target) {
    RequestOptions options =
        new RequestOptions(target).setMethod(HttpMethod.valueOf(call.method())).setURI(call.path());
    context.runOnContext(ignored -> client.request(options).onComplete(this::onConnection));
  }

  /** Ends the call early. A call that has not been sent yet will not be sent. */
  void cancel() {
    context.runOnContext(
        ignored -> fail(new TargetFailure(Kind.CANCELLED, sent, "ended by the agent")));
  }

  /** Stops asking for the answer. */
  void pause() {
    paused = true;
  }

  /** Goes on asking for the answer. */
  void resume() {
    paused = false;
    if (owed) {
      owed = false;
      fetch();
    }
  }

  /** Notes that the last piece has been handled. */
  void consumed() {
    owed = paused;
    if (!paused) {
      fetch();
    }
  }

  /** Asks for the next piece. */
  private void fetch() {
    context.runOnContext(
        ignored -> {
          if (!done && response != null) {
            response.fetch(1);
          }
        });
  }

  /**
   * Sends the request on a new connection.
   *
   * @param connection the connection or why there is none
   */
  private void onConnection(AsyncResult<HttpClientRequest> connection) {
    if (connection.failed()) {
      fail(new TargetFailure(Kind.NOT_CONNECTED, false, detail(connection.cause())));
      return;
    }
    request = connection.result();
    if (done) {
      request.reset();
      return;
    }
    TargetHeaders.toRequest(call.headers(), request.headers());
    if (call.resumeAfter() > 0) {
      request.putHeader(LAST_EVENT_ID, Integer.toString(call.resumeAfter()));
    }
    request.response().onComplete(this::onResponse);
    sent = true;
    if (call.body().isEmpty()) {
      request.end();
    } else {
      request.end(Buffer.buffer(call.body().toByteArray()));
    }
  }

  /**
   * Passes the answer on.
   *
   * @param answer the answer or why there is none
   */
  private void onResponse(AsyncResult<HttpClientResponse> answer) {
    if (answer.failed()) {
      fail(broken(answer.cause()));
      return;
    }
    response = answer.result();
    response.pause();
    response.exceptionHandler(cause -> fail(broken(cause)));
    response.handler(this::onPiece);
    response.endHandler(ignored -> onEnd());
    AnswerHead head = TargetHeaders.toHead(response.statusCode(), response.headers());
    events.put(work -> work.onTargetHead(call.token(), head));
  }

  /**
   * Passes a piece of the answer on.
   *
   * @param piece the piece
   */
  private void onPiece(Buffer piece) {
    if (!done) {
      ByteString data = ByteString.copyFrom(piece.getBytes());
      events.put(work -> work.onTargetData(call.token(), data));
    }
  }

  /** Reports the end of the answer. */
  private void onEnd() {
    if (!done) {
      done = true;
      events.put(work -> work.onTargetEnd(call.token()));
    }
  }

  /**
   * Reports a failure, unless the call has ended.
   *
   * @param failure the failure
   */
  private void fail(TargetFailure failure) {
    if (!done) {
      done = true;
      events.put(work -> work.onTargetFailed(call.token(), failure));
      if (request != null) {
        request.reset();
      }
    }
  }

  /**
   * Describes the end of a connection on which the request had been sent.
   *
   * @param cause what the HTTP client reported
   * @return the failure
   */
  private static TargetFailure broken(Throwable cause) {
    boolean reset = cause instanceof IOException || cause instanceof HttpClosedException;
    return new TargetFailure(reset ? Kind.RESET : Kind.PROTOCOL, true, detail(cause));
  }

  /**
   * Describes an exception.
   *
   * @param cause the exception
   * @return its type and message
   */
  private static String detail(Throwable cause) {
    return cause.getClass().getSimpleName() + ": " + cause.getMessage();
  }
}

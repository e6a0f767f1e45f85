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
 * A single HTTP call to the target, without retries.
 *
 * <p>The response is read with backpressure: the next chunk is requested only after the event
 * thread has handled the previous one, so that a slow reader throttles the target instead of
 * filling the memory of the agent.
 */
final class Exchange {

  /** Header that makes a model engine resume a stream after the given event. */
  private static final String LAST_EVENT_ID = "Last-Event-ID";

  /** Call to make. */
  private final TargetCall call;

  /** Event loop of the call. */
  private final Context context;

  /** Receiver of the events. */
  private final AgentEvent.Sink events;

  /** HTTP request, null until connected; confined to the event loop. */
  private HttpClientRequest request;

  /** HTTP response, null until its headers have arrived; confined to the event loop. */
  private HttpClientResponse response;

  /** Whether any byte of the request may have been sent; confined to the event loop. */
  private boolean sent;

  /** Whether the end or failure has been reported; confined to the event loop. */
  private boolean done;

  /** Whether reading is paused; confined to the event thread. */
  private boolean paused;

  /** Whether a fetch was deferred by the pause; confined to the event thread. */
  private boolean fetchDeferred;

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

  /** Cancels the call. A request that has not been sent yet is never sent. */
  void cancel() {
    context.runOnContext(
        ignored -> fail(new TargetFailure(Kind.CANCELLED, sent, "ended by the agent")));
  }

  /** Pauses reading of the response. */
  void pause() {
    paused = true;
  }

  /** Resumes reading of the response. */
  void resume() {
    paused = false;
    if (fetchDeferred) {
      fetchDeferred = false;
      fetch();
    }
  }

  /** Signals that the last chunk has been handled. */
  void onChunkHandled() {
    fetchDeferred = paused;
    if (!paused) {
      fetch();
    }
  }

  /** Requests the next chunk of the response. */
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
   * @param connection the result of connecting
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
   * Reports the status and headers and subscribes to the body.
   *
   * @param result the response or the reason of its failure
   */
  private void onResponse(AsyncResult<HttpClientResponse> result) {
    if (result.failed()) {
      fail(connectionFailure(result.cause()));
      return;
    }
    response = result.result();
    response.pause();
    response.exceptionHandler(cause -> fail(connectionFailure(cause)));
    response.handler(this::onChunk);
    response.endHandler(ignored -> onEnd());
    AnswerHead head = TargetHeaders.toHead(response.statusCode(), response.headers());
    events.put(work -> work.onTargetHead(call.token(), head));
  }

  /**
   * Reports a chunk of the response body.
   *
   * @param chunk the chunk
   */
  private void onChunk(Buffer chunk) {
    if (!done) {
      ByteString data = ByteString.copyFrom(chunk.getBytes());
      events.put(work -> work.onTargetData(call.token(), data));
    }
  }

  /** Reports the end of the response. */
  private void onEnd() {
    if (!done) {
      done = true;
      events.put(work -> work.onTargetEnd(call.token()));
    }
  }

  /**
   * Reports a failure and resets the request, unless the call has ended.
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
   * Classifies the failure of a connection on which the request may have been sent.
   *
   * @param cause the exception of the HTTP client
   * @return the failure
   */
  private static TargetFailure connectionFailure(Throwable cause) {
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

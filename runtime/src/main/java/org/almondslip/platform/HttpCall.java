package org.almondslip.platform;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import java.util.function.Consumer;

/** One HTTP call, which reports its result once and tracks whether any byte may have been sent. */
final class HttpCall {

  private final Buffer body;

  private final Consumer<HttpCallResult> callback;

  /** Action to run when the result is known. */
  private Runnable finishAction = () -> {};

  /** Request on its connection; null until a connection is available. */
  private HttpClientRequest request;

  private boolean finished;

  /**
   * Creates a call that is not sent yet.
   *
   * @param body the body of the call
   * @param callback receives the result
   */
  HttpCall(Buffer body, Consumer<HttpCallResult> callback) {
    this.body = body;
    this.callback = callback;
  }

  /**
   * Sets an action to run when the result is known, or runs it at once if the result is already
   * known.
   *
   * @param action the action
   */
  synchronized void onFinished(Runnable action) {
    finishAction = action;
    if (finished) {
      action.run();
    }
  }

  /**
   * Sends the call on a connection, unless the call has already timed out.
   *
   * @param ready the request on its connection
   */
  void send(HttpClientRequest ready) {
    synchronized (this) {
      if (finished) {
        ready.reset();
        return;
      }
      request = ready;
    }
    ready
        .send(body)
        .compose(
            response ->
                response
                    .body()
                    .map(content -> new HttpCallResult.Response(response.statusCode(), content)))
        .onComplete(
            this::finish,
            failure -> finish(new HttpCallResult.ResponseLost(String.valueOf(failure))));
  }

  /**
   * Reports that no connection was available.
   *
   * @param detail a description of the failure
   */
  void onNotSent(String detail) {
    finish(new HttpCallResult.NotSent(detail));
  }

  /**
   * Reports that the call has timed out. Its connection is closed if the call was sent, since the
   * connection may never respond again.
   *
   * @param timeoutMillis the timeout, in milliseconds
   * @param onUnresponsive an action to run before the result is reported, if the call was sent
   */
  synchronized void onTimeout(long timeoutMillis, Runnable onUnresponsive) {
    String detail = "no response within " + timeoutMillis + " ms";
    if (finished) {
      return;
    }
    if (request == null) {
      finish(new HttpCallResult.NotSent(detail));
    } else {
      onUnresponsive.run();
      finish(new HttpCallResult.ResponseLost(detail));
      request.reset();
    }
  }

  /** Reports the result, unless another result has already been reported. */
  private synchronized void finish(HttpCallResult result) {
    if (!finished) {
      finished = true;
      finishAction.run();
      callback.accept(result);
    }
  }
}

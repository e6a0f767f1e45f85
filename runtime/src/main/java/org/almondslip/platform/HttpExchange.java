package org.almondslip.platform;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import java.util.function.Consumer;

/** One call; knows whether bytes may have been sent, and reports its reply once. */
final class HttpExchange {

  /** Body of the call. */
  private final Buffer body;

  /** Receiver of the reply. */
  private final Consumer<HttpReply> callback;

  /** Action once the reply is known. */
  private Runnable cleanUp = () -> {};

  /** Request, null until a connection is available. */
  private HttpClientRequest request;

  /** Whether the reply has been reported. */
  private boolean finished;

  /**
   * Creates an exchange that has sent nothing.
   *
   * @param body the body of the call
   * @param callback the receiver of the reply
   */
  HttpExchange(Buffer body, Consumer<HttpReply> callback) {
    this.body = body;
    this.callback = callback;
  }

  /**
   * Sets what to do once the reply is known.
   *
   * @param action the action
   */
  synchronized void onFinished(Runnable action) {
    cleanUp = action;
    if (finished) {
      action.run();
    }
  }

  /**
   * Sends the call on a connection, unless its time has passed meanwhile.
   *
   * @param ready the request with its connection
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
                    .map(content -> new HttpReply.Answered(response.statusCode(), content)))
        .onComplete(this::finish, failure -> finish(new HttpReply.Lost(String.valueOf(failure))));
  }

  /**
   * No connection could be had.
   *
   * @param detail what failed
   */
  void onNotSent(String detail) {
    finish(new HttpReply.NotSent(detail));
  }

  /**
   * The time limit has passed. A connection that was in use is closed, since it may be silent for
   * good.
   *
   * @param limitMillis the time limit
   * @param onSilent run before the reply is reported if the call was sent and got no answer
   */
  synchronized void expire(long limitMillis, Runnable onSilent) {
    String detail = "no answer within " + limitMillis + " ms";
    if (finished) {
      return;
    }
    if (request == null) {
      finish(new HttpReply.NotSent(detail));
    } else {
      onSilent.run();
      finish(new HttpReply.Lost(detail));
      request.reset();
    }
  }

  /**
   * Reports the reply if none has been reported.
   *
   * @param reply the reply
   */
  private synchronized void finish(HttpReply reply) {
    if (!finished) {
      finished = true;
      cleanUp.run();
      callback.accept(reply);
    }
  }
}

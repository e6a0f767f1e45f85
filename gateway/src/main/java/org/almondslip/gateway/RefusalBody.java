package org.almondslip.gateway;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpClientResponse;
import java.util.concurrent.TimeUnit;

/**
 * Discards the body of a refusal, so that its connection can be reused. The refusal holds whatever
 * its body is, and the request waits for it, so only a small body that ends soon is read.
 */
final class RefusalBody {

  private static final int MAX_BYTES = 64 << 10;

  private static final long MAX_MILLIS = 1_000;

  private final Promise<Void> end = Promise.promise();

  private int bytes;

  private RefusalBody() {}

  /**
   * Discards the body of a paused response.
   *
   * @param response the response
   * @return succeeds at the end of the body, fails if the connection cannot be reused
   */
  static Future<Void> discard(HttpClientResponse response) {
    RefusalBody body = new RefusalBody();
    response.exceptionHandler(body.end::tryFail);
    response.handler(data -> body.onData(data.length()));
    response.endHandler(ignored -> body.end.tryComplete());
    response.resume();
    return body.end.future().timeout(MAX_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void onData(int length) {
    bytes += length;
    if (bytes > MAX_BYTES) {
      end.tryFail("the body of the refusal is too large");
    }
  }
}

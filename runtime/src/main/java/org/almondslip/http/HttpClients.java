package org.almondslip.http;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;

/** Creates HTTP/1.1 clients whose connections have a {@link ResponseGuard}. */
public final class HttpClients {

  private HttpClients() {}

  /**
   * Creates a client with a pool of guarded connections.
   *
   * @param vertx the event loops
   * @param options the options of the connections
   * @param pool the options of the pool
   * @return the client; a call fails with an {@link InvalidResponseException} if the server sends
   *     bytes that are no response
   */
  public static HttpClientAgent newPooled(
      Vertx vertx, HttpClientOptions options, PoolOptions pool) {
    return vertx
        .httpClientBuilder()
        .with(options)
        .with(pool)
        .withConnectHandler(ResponseGuard::install)
        .build();
  }
}

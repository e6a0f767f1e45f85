package org.almondslip.platform;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/** Sends calls to one service of the platform, each with a time limit for the whole call. */
final class HttpCaller implements AutoCloseable {

  /** Connections to the service; each carries one call at a time. */
  private static final int CONNECTIONS = 16;

  /** Calls that may wait for a connection; more are refused as not sent. */
  private static final int WAITING_CALLS = 1_000;

  /** Event loop. */
  private final Vertx vertx;

  /** Client with its connections. */
  private final HttpClient client;

  /** Time limit of a call in milliseconds. */
  private final long limitMillis;

  /** Runs the callbacks. */
  private final Executor executor;

  /**
   * Creates a caller.
   *
   * @param vertx the event loop
   * @param address the address of the service as {@code ip:port}
   * @param limitMillis the time limit of a call in milliseconds
   * @param executor runs the callbacks
   */
  HttpCaller(Vertx vertx, String address, long limitMillis, Executor executor) {
    int colon = address.lastIndexOf(':');
    HttpClientOptions options =
        new HttpClientOptions()
            .setDefaultHost(address.substring(0, colon))
            .setDefaultPort(Integer.parseInt(address.substring(colon + 1)))
            .setConnectTimeout((int) limitMillis);
    PoolOptions pool =
        new PoolOptions().setHttp1MaxSize(CONNECTIONS).setMaxWaitQueueSize(WAITING_CALLS);
    this.vertx = vertx;
    this.client = vertx.createHttpClient(options, pool);
    this.limitMillis = limitMillis;
    this.executor = executor;
  }

  /**
   * Sends a call.
   *
   * @param method the method
   * @param uri the path and query
   * @param body the body, which may be empty
   * @param callback receives the reply once, on the executor
   */
  void call(HttpMethod method, String uri, Buffer body, Consumer<HttpReply> callback) {
    HttpExchange exchange =
        new HttpExchange(body, reply -> executor.execute(() -> callback.accept(reply)));
    long timer = vertx.setTimer(limitMillis, id -> exchange.expire(limitMillis));
    exchange.onFinished(() -> vertx.cancelTimer(timer));
    client
        .request(method, uri)
        .onComplete(exchange::send, failure -> exchange.onNotSent(String.valueOf(failure)));
  }

  @Override
  public void close() {
    client.close().toCompletionStage().toCompletableFuture().join();
  }
}

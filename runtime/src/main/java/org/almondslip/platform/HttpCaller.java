package org.almondslip.platform;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Function;

/** Sends calls to one service of the platform, each with a time limit for the whole call. */
final class HttpCaller implements AutoCloseable {

  /** Connections to the service; each carries one call at a time. */
  private static final int CONNECTIONS = 16;

  /** Calls that may wait for a connection; more are refused as not sent. */
  private static final int WAITING_CALLS = 1_000;

  /** Event loop. */
  private final Vertx vertx;

  /**
   * Address and limits of the connections.
   *
   * <p>Compressed answers are accepted because of the instance list. For 1,010 instances it takes
   * 116 KB, or 13.6 KB compressed. Read every 5 s, the former alone would exceed the 14 KB/s that
   * control may use on a node.
   */
  private final HttpClientOptions options;

  /** Client with its connections, replaced when one of them has gone silent. */
  private final AtomicReference<HttpClient> client;

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
    this.options =
        new HttpClientOptions()
            .setDefaultHost(address.substring(0, colon))
            .setDefaultPort(Integer.parseInt(address.substring(colon + 1)))
            .setDecompressionSupported(true)
            .setConnectTimeout((int) limitMillis);
    this.vertx = vertx;
    this.client = new AtomicReference<>(newClient());
    this.limitMillis = limitMillis;
    this.executor = executor;
  }

  /**
   * Sends a call.
   *
   * @param method the method
   * @param uri the path and query
   * @param body the body, which may be empty
   * @param converter reads the reply, on the event loop so that large answers don't hold up the
   *     executor
   * @param callback receives the converted reply once, on the executor
   * @param <T> the type of the converted reply
   */
  <T> void call(
      HttpMethod method,
      String uri,
      Buffer body,
      Function<HttpReply, T> converter,
      Consumer<T> callback) {
    HttpExchange exchange =
        new HttpExchange(
            body,
            reply -> {
              T converted = converter.apply(reply);
              executor.execute(() -> callback.accept(converted));
            });
    HttpClient used = client.get();
    long timer =
        vertx.setTimer(limitMillis, id -> exchange.expire(limitMillis, () -> replace(used)));
    exchange.onFinished(() -> vertx.cancelTimer(timer));
    used.request(method, uri)
        .onComplete(exchange::send, failure -> exchange.onNotSent(String.valueOf(failure)));
  }

  @Override
  public void close() {
    client.get().close().toCompletionStage().toCompletableFuture().join();
  }

  /**
   * Gives up all connections after one of them has gone silent.
   *
   * <p>The others may be silent too, and trying them one after the other would take a time limit
   * each. Calls on them that are still in progress keep their own time.
   *
   * @param used the client with the silent connection
   */
  private void replace(HttpClient used) {
    if (client.get() == used) {
      HttpClient fresh = newClient();
      if (client.compareAndSet(used, fresh)) {
        vertx.setTimer(limitMillis, id -> used.close());
      } else {
        fresh.close();
      }
    }
  }

  /**
   * Creates a client without connections.
   *
   * @return the client
   */
  private HttpClient newClient() {
    PoolOptions pool =
        new PoolOptions().setHttp1MaxSize(CONNECTIONS).setMaxWaitQueueSize(WAITING_CALLS);
    return vertx.createHttpClient(options, pool);
  }
}

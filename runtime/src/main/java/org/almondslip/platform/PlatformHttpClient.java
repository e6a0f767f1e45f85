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
import org.almondslip.http.HttpClients;

/** HTTP client of one service of the platform, with a timeout for each call as a whole. */
final class PlatformHttpClient implements AutoCloseable {

  /** Maximum number of connections to the service, each of which carries one call at a time. */
  private static final int MAX_CONNECTIONS = 16;

  /** Maximum number of calls that wait for a connection; further calls fail as not sent. */
  private static final int MAX_WAITING_CALLS = 1_000;

  private final Vertx vertx;

  /**
   * Options of the connections.
   *
   * <p>Compressed responses are accepted because of the instance list. Its response takes 116 KB
   * for 1,010 instances, or 13.6 KB compressed. It is read every 5 s, so that uncompressed
   * responses alone would exceed the limit of 14 KB/s for control traffic of a node.
   */
  private final HttpClientOptions options;

  /** Current client, which is replaced after a call has timed out on one of its connections. */
  private final AtomicReference<HttpClient> client;

  private final long timeoutMillis;

  private final Executor executor;

  /**
   * Creates a client.
   *
   * @param vertx the event loops that run the calls
   * @param address the address of the service as {@code ip:port}
   * @param timeoutMillis the timeout of a call, in milliseconds
   * @param executor the executor of the callbacks
   */
  PlatformHttpClient(Vertx vertx, String address, long timeoutMillis, Executor executor) {
    int colon = address.lastIndexOf(':');
    this.options =
        new HttpClientOptions()
            .setDefaultHost(address.substring(0, colon))
            .setDefaultPort(Integer.parseInt(address.substring(colon + 1)))
            .setDecompressionSupported(true)
            .setConnectTimeout((int) timeoutMillis);
    this.vertx = vertx;
    this.client = new AtomicReference<>(newClient());
    this.timeoutMillis = timeoutMillis;
    this.executor = executor;
  }

  /**
   * Sends a call.
   *
   * @param method the method
   * @param uri the path and query
   * @param body the body, which may be empty
   * @param converter converts the result, on the event loop so that a large response does not block
   *     the executor
   * @param callback receives the converted result exactly once, on the executor
   * @param <T> the type of the converted result
   */
  <T> void call(
      HttpMethod method,
      String uri,
      Buffer body,
      Function<HttpCallResult, T> converter,
      Consumer<T> callback) {
    HttpCall call =
        new HttpCall(
            body,
            result -> {
              T converted = converter.apply(result);
              executor.execute(() -> callback.accept(converted));
            });
    HttpClient used = client.get();
    long timer =
        vertx.setTimer(
            timeoutMillis, id -> call.onTimeout(timeoutMillis, () -> replaceClient(used)));
    call.onFinished(() -> vertx.cancelTimer(timer));
    used.request(method, uri)
        .onComplete(call::send, failure -> call.onNotSent(String.valueOf(failure)));
  }

  @Override
  public void close() {
    client.get().close().toCompletionStage().toCompletableFuture().join();
  }

  /**
   * Replaces the client and thereby all its connections after one of them did not respond.
   *
   * <p>The other connections may be unresponsive too, and each of them would cost a call its full
   * timeout. Calls that are in progress on them keep their own timeouts.
   *
   * @param used the client with the unresponsive connection
   */
  private void replaceClient(HttpClient used) {
    if (client.get() == used) {
      HttpClient replacement = newClient();
      if (client.compareAndSet(used, replacement)) {
        vertx.setTimer(timeoutMillis, id -> used.close());
      } else {
        replacement.close();
      }
    }
  }

  private HttpClient newClient() {
    PoolOptions pool =
        new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS).setMaxWaitQueueSize(MAX_WAITING_CALLS);
    return HttpClients.newPooled(vertx, options, pool);
  }
}

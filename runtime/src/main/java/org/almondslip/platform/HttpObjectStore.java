package org.almondslip.platform;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.almondslip.store.ObjectStore;
import org.almondslip.store.StoreResult;

/** HTTP client of the object store. */
public final class HttpObjectStore implements ObjectStore, AutoCloseable {

  private static final int STATUS_NOT_FOUND = 404;

  private final PlatformHttpClient client;

  /**
   * Creates a client.
   *
   * @param vertx the event loops that run the calls
   * @param address the address of the service as {@code ip:port}
   * @param timeoutMillis the timeout of a call, in milliseconds
   * @param executor the executor of the callbacks
   */
  public HttpObjectStore(Vertx vertx, String address, long timeoutMillis, Executor executor) {
    this.client = new PlatformHttpClient(vertx, address, timeoutMillis, executor);
  }

  @Override
  public void put(String key, byte[] value, Consumer<StoreResult<Boolean>> callback) {
    client.call(
        HttpMethod.PUT,
        path(key),
        Buffer.buffer(value),
        result -> result.toStoreResult(body -> true),
        callback);
  }

  @Override
  public void get(String key, Consumer<StoreResult<Optional<byte[]>>> callback) {
    client.call(HttpMethod.GET, path(key), Buffer.buffer(), HttpObjectStore::toValue, callback);
  }

  @Override
  public void close() {
    client.close();
  }

  /** Converts the result of a read to the value, which is empty for status 404. */
  private static StoreResult<Optional<byte[]>> toValue(HttpCallResult result) {
    if (result instanceof HttpCallResult.Response response
        && response.status() == STATUS_NOT_FOUND) {
      return new StoreResult.Success<>(Optional.empty());
    }
    return result.toStoreResult(body -> Optional.of(body.getBytes()));
  }

  private static String path(String key) {
    return "/objects/" + URLEncoder.encode(key, StandardCharsets.UTF_8).replace("+", "%20");
  }
}

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

/** Client of the object store. */
public final class HttpObjectStore implements ObjectStore, AutoCloseable {

  /** Status for an object that does not exist. */
  private static final int NOT_FOUND = 404;

  /** Sender of the calls. */
  private final HttpCaller caller;

  /**
   * Creates a client.
   *
   * @param vertx the event loop
   * @param address the address of the service as {@code ip:port}
   * @param limitMillis the time limit of a call in milliseconds
   * @param executor runs the callbacks
   */
  public HttpObjectStore(Vertx vertx, String address, long limitMillis, Executor executor) {
    this.caller = new HttpCaller(vertx, address, limitMillis, executor);
  }

  @Override
  public void put(String key, byte[] value, Consumer<StoreResult<Boolean>> callback) {
    caller.call(
        HttpMethod.PUT,
        path(key),
        Buffer.buffer(value),
        reply -> reply.toResult(body -> true),
        callback);
  }

  @Override
  public void get(String key, Consumer<StoreResult<Optional<byte[]>>> callback) {
    caller.call(HttpMethod.GET, path(key), Buffer.buffer(), HttpObjectStore::toValue, callback);
  }

  @Override
  public void close() {
    caller.close();
  }

  /**
   * Converts the reply to a read.
   *
   * @param reply the reply
   * @return the value, or empty when there is none
   */
  private static StoreResult<Optional<byte[]>> toValue(HttpReply reply) {
    if (reply instanceof HttpReply.Answered answered && answered.status() == NOT_FOUND) {
      return new StoreResult.Success<>(Optional.empty());
    }
    return reply.toResult(body -> Optional.of(body.getBytes()));
  }

  /**
   * Returns the path of an object.
   *
   * @param key the key
   * @return the path
   */
  private static String path(String key) {
    return "/objects/" + URLEncoder.encode(key, StandardCharsets.UTF_8).replace("+", "%20");
  }
}

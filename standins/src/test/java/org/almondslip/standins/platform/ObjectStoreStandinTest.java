package org.almondslip.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.util.Optional;
import org.almondslip.platform.HttpObjectStore;
import org.almondslip.resource.Closer;
import org.almondslip.standins.HttpStandin;
import org.almondslip.store.StoreResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the object store over HTTP together with its client. */
class ObjectStoreStandinTest {

  /** Resources of a test. */
  private final Closer closer = new Closer();

  /** Thread of the callbacks. */
  private final DecisionThread thread = closer.register(new DecisionThread());

  /** Client under test. */
  private HttpObjectStore store;

  @BeforeEach
  void start() {
    Vertx vertx = Vertx.vertx();
    closer.register(() -> vertx.close().toCompletionStage().toCompletableFuture().join());
    HttpStandin standin =
        closer.register(new HttpStandin("o", "127.0.0.1:0", vertx, new ObjectStoreStandin()));
    standin.start();
    store =
        closer.register(new HttpObjectStore(vertx, standin.address(), 5_000, thread.executor()));
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  /** Guards against values that are changed by text encodings or lost under keys with slashes. */
  @Test
  void bytesAreReadBack() {
    byte[] value = new byte[256];
    for (int i = 0; i < value.length; i++) {
      value[i] = (byte) i;
    }
    StoreResult<Boolean> put = thread.await(done -> store.put("acme/a b", value, done));
    assertThat(put).isEqualTo(new StoreResult.Success<>(true));
    assertThat(get("acme/a b").orElseThrow()).isEqualTo(value);
    assertThat(get("acme/other")).isEmpty();
  }

  /**
   * Reads a value.
   *
   * @param key the key
   * @return the value
   */
  private Optional<byte[]> get(String key) {
    StoreResult<Optional<byte[]>> result = thread.await(done -> store.get(key, done));
    return ((StoreResult.Success<Optional<byte[]>>) result).value();
  }
}

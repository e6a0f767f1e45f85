package org.almondslip.store;

import java.util.Optional;
import java.util.function.Consumer;

/** The platform's store for large values. */
public interface ObjectStore {

  /**
   * Writes a value.
   *
   * @param key the key
   * @param value the value
   * @param callback receives the outcome
   */
  void put(String key, byte[] value, Consumer<StoreResult<Boolean>> callback);

  /**
   * Reads a value.
   *
   * @param key the key
   * @param callback receives the value, or empty when there is none
   */
  void get(String key, Consumer<StoreResult<Optional<byte[]>>> callback);
}

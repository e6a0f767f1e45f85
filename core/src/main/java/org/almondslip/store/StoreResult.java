package org.almondslip.store;

/**
 * Result of a call to the platform.
 *
 * @param <T> the type of the value
 */
public sealed interface StoreResult<T> {

  /**
   * The call took effect and its answer arrived.
   *
   * @param value the answer
   * @param <T> the type of the value
   */
  record Success<T>(T value) implements StoreResult<T> {}

  /**
   * The call surely took no effect.
   *
   * @param detail what failed
   * @param <T> the type of the value
   */
  record NotApplied<T>(String detail) implements StoreResult<T> {}

  /**
   * The answer was lost; a write may have taken effect or may still do so.
   *
   * @param detail what failed
   * @param <T> the type of the value
   */
  record Unknown<T>(String detail) implements StoreResult<T> {}
}

package org.almondslip.store;

/**
 * Result of a call to a platform service.
 *
 * @param <T> the type of the value
 */
public sealed interface StoreResult<T> {

  /**
   * The call was executed and its response was received.
   *
   * @param value the value of the response
   * @param <T> the type of the value
   */
  record Success<T>(T value) implements StoreResult<T> {}

  /**
   * The call had no effect.
   *
   * @param detail what failed
   * @param <T> the type of the value
   */
  record NotApplied<T>(String detail) implements StoreResult<T> {}

  /**
   * No response was received; a write may have been applied or may still be applied later.
   *
   * @param detail what failed
   * @param <T> the type of the value
   */
  record Unknown<T>(String detail) implements StoreResult<T> {}
}

package org.almondslip.order;

import java.util.Optional;
import java.util.function.Consumer;

/** Claims of idempotency keys. All methods and callbacks run on the decision thread. */
public interface Claims {

  /**
   * Claims the key of an order.
   *
   * @param order the order
   * @param callback receives the result once
   */
  void claim(Order order, Consumer<ClaimResult> callback);

  /**
   * Records the answer of a claimed order. The record is retried while the store is down.
   *
   * @param claim the claim
   * @param answer the answer of the target, empty when it was too large to keep
   */
  void complete(Claim claim, Optional<StoredAnswer> answer);

  /**
   * Gives up a claim whose call surely did not leave.
   *
   * @param claim the claim
   */
  void release(Claim claim);
}

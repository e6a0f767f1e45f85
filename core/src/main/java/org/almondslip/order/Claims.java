package org.almondslip.order;

import java.util.Optional;
import java.util.function.Consumer;

/** Claims idempotency keys. All methods and callbacks run on the decision thread. */
public interface Claims {

  /**
   * Claims the key of an order.
   *
   * @param order the order to claim
   * @param callback receives the result exactly once
   */
  void claim(Order order, Consumer<ClaimResult> callback);

  /**
   * Records the answer of a claimed order. The write is retried while the store is unavailable.
   *
   * @param claim the claim to complete
   * @param answer the answer of the target, or empty when it was too large to keep
   */
  void complete(Claim claim, Optional<StoredAnswer> answer);

  /**
   * Releases a claim whose call was certainly not sent, so that the key may be claimed again.
   *
   * @param claim the claim to release
   */
  void release(Claim claim);
}

package org.almondslip.execution;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.almondslip.order.Claim;
import org.almondslip.order.ClaimResult;
import org.almondslip.order.Claims;
import org.almondslip.order.Order;
import org.almondslip.order.StoredAnswer;

/** Claims whose results are supplied by the test. */
final class FakeClaims implements Claims {

  /** Orders that were claimed. */
  final List<Order> orders = new ArrayList<>();

  /** Callbacks for the results, in the order of the claims. */
  final List<Consumer<ClaimResult>> callbacks = new ArrayList<>();

  /** Answers that were recorded. */
  final List<StoredAnswer> completed = new ArrayList<>();

  /** Claims that were released. */
  final List<Claim> released = new ArrayList<>();

  @Override
  public void claim(Order order, Consumer<ClaimResult> callback) {
    orders.add(order);
    callbacks.add(callback);
  }

  @Override
  public void complete(Claim claim, Optional<StoredAnswer> answer) {
    completed.add(answer.orElseThrow());
  }

  @Override
  public void release(Claim claim) {
    released.add(claim);
  }
}

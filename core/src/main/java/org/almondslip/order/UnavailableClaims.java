package org.almondslip.order;

import java.util.Optional;
import java.util.function.Consumer;
import org.almondslip.error.ErrorCode;
import org.almondslip.error.Ran;

/** Claims without a table service: refuses every order as not run and ignores all other calls. */
public enum UnavailableClaims implements Claims {
  /** The singleton instance. */
  INSTANCE;

  @Override
  public void claim(Order order, Consumer<ClaimResult> callback) {
    callback.accept(
        new ClaimResult.Refused(
            ErrorCode.ORDER_STORE_UNAVAILABLE, Ran.NO, "no table service is configured"));
  }

  @Override
  public void complete(Claim claim, Optional<StoredAnswer> answer) {}

  @Override
  public void release(Claim claim) {}
}

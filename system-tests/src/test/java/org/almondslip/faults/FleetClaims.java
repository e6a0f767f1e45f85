package org.almondslip.faults;

import org.almondslip.order.Claims;
import org.almondslip.order.UnavailableClaims;
import org.almondslip.store.TableStore;
import org.almondslip.time.Clock;

/** Claims of an agent in the fault tests. */
final class FleetClaims {

  private FleetClaims() {}

  static Claims create(TableStore store, Clock clock, Node node) {
    return UnavailableClaims.INSTANCE;
  }
}

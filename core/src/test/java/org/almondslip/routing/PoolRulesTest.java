package org.almondslip.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.CatalogObject.Target;
import org.almondslip.catalog.VersionedObject;
import org.almondslip.error.ErrorCode;
import org.junit.jupiter.api.Test;

/** Tests {@link PoolRules}. */
class PoolRulesTest {

  /** Guards against running an order again because of its method. */
  @Test
  void knowsIdempotentMethods() {
    assertThat(idempotent(RoutingFixture.catalog(), "GET")).isTrue();
    assertThat(idempotent(RoutingFixture.catalog(), "PUT")).isTrue();
    assertThat(idempotent(RoutingFixture.catalog(), "POST")).isFalse();
    assertThat(idempotent(RoutingFixture.catalog(), "PATCH")).isFalse();
    Target special = new Target("s1", "orders", Target.Type.SERVICE, 1, null, null, List.of("put"));
    Catalog changed =
        RoutingFixture.catalog().merge(List.of(new VersionedObject(special, 2, 2)), 2);
    assertThat(idempotent(changed, "PUT")).isFalse();
  }

  /** Guards against refusals with the wrong error code. */
  @Test
  void refusesWithReason() {
    CallerRequest request =
        RoutingFixture.request(1, CallerRequest.Kind.SERVICE, "GET", RoutingFixture.TIMEOUT);
    assertThat(PoolRules.refuse(Catalog.EMPTY, request).orElseThrow().failure())
        .contains(ErrorCode.NOT_READY);
    assertThat(PoolRules.refuse(RoutingFixture.catalog(), request)).isEmpty();
  }

  /**
   * Asks about a request to the pool of orders.
   *
   * @param catalog the catalog
   * @param method the method
   * @return whether it is idempotent
   */
  private static boolean idempotent(Catalog catalog, String method) {
    CallerRequest request =
        RoutingFixture.request(1, CallerRequest.Kind.SERVICE, method, RoutingFixture.TIMEOUT);
    return PoolRules.idempotent(catalog, request);
  }
}

package org.almondslip.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.almondslip.directory.RouteKind;
import org.junit.jupiter.api.Test;

/** Tests {@link OrganisationRanks}. */
class OrganisationRanksTest {

  private final OrganisationRanks ranks =
      OrganisationRanks.of(
          TestTables.table(
              Map.of("high", 0, "low", 5), TestTables.route(RouteKind.STREAMING, 500, 500)));

  /** Guards against a rank of an organisation that the rank of its routes replaces. */
  @Test
  void rankOfOrganisationGoesBeforeThatOfItsRoutes() {
    assertThat(ranks.rank("s", "high")).isZero();
    assertThat(ranks.rank("s", "low")).isEqualTo(5);
  }

  /** Guards against organisations without a rank that are preferred to those of rank 0. */
  @Test
  void organisationWithoutRankHasThatOfTheRoutes() {
    assertThat(ranks.rank("s", "other")).isEqualTo(1);
    assertThat(ranks.rank("unknown", "other")).isZero();
    assertThat(OrganisationRanks.NONE.rank("s", "other")).isZero();
  }
}

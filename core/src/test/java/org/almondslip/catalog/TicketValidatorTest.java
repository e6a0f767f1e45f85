package org.almondslip.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.almondslip.catalog.CatalogObject.ApiKey;
import org.almondslip.catalog.CatalogObject.Organisation;
import org.almondslip.catalog.CatalogObject.Share;
import org.almondslip.catalog.CatalogObject.Target;
import org.almondslip.error.Finding;
import org.almondslip.error.Findings;
import org.junit.jupiter.api.Test;

/** Tests that invalid tickets are rejected with all findings. */
class TicketValidatorTest {

  /** Well-formed SHA-256 hash. */
  private static final String HASH = "ab".repeat(32);

  /** Catalog with one target, one organisation and one API key. */
  private static final Catalog CATALOG =
      Catalog.EMPTY.merge(
          List.of(
              new VersionedObject(target("t1", "p1", Target.Type.MODEL), 1, 1),
              new VersionedObject(new Organisation("acme", List.of("p1")), 1, 1),
              new VersionedObject(new ApiKey("k1", "acme", HASH, false), 1, 1)),
          1);

  /** Guards against the rejection of a ticket whose objects refer to each other. */
  @Test
  void objectsOfTheSameTicketMayReferToEachOther() {
    assertThat(
            validate(
                new Organisation("new", List.of("p2", "t1")),
                target("t2", "p2", Target.Type.SERVICE),
                new Share("new", 3),
                new ApiKey("k2", "new", "cd".repeat(32), false)))
        .isEmpty();
  }

  /** Guards against findings that are reported one at a time. */
  @Test
  void allFindingsAreReportedTogether() {
    assertThat(
            validate(
                new Organisation("acme", List.of("nowhere", "p1", "p1")),
                new Share("acme", 0),
                new Share("unknown", 1),
                new ApiKey("k2", "unknown", "xyz", false),
                new Organisation("acme", List.of()),
                target("bad/name", "p1", Target.Type.SERVICE)))
        .containsExactly(
            "objects[4].name",
            "objects[0].reach",
            "objects[0].reach",
            "objects[1].weight",
            "objects[2].name",
            "objects[3].organisation",
            "objects[3].sha256",
            "objects[5].name",
            "objects[5].type");
  }

  /** Guards against two keys that have the same secret. */
  @Test
  void hashOfAnotherKeyIsRejected() {
    assertThat(validate(new ApiKey("k2", "acme", HASH, false)))
        .containsExactly("objects[0].sha256");
    assertThat(validate(new ApiKey("k1", "acme", HASH, true))).isEmpty();
  }

  /** Guards against a name in a reach that denotes both a target and a pool. */
  @Test
  void nameSharedByTargetAndOtherPoolIsRejected() {
    assertThat(validate(target("p1", "p2", Target.Type.MODEL))).containsExactly("objects[0].name");
    assertThat(validate(target("t2", "t1", Target.Type.MODEL))).containsExactly("objects[0].pool");
    assertThat(validate(target("solo", "solo", Target.Type.MODEL))).isEmpty();
  }

  /** Guards against two flows that share an account and a queue because of a hash collision. */
  @Test
  void collidingFlowIdsAreRejected() {
    Map<Integer, String> names = new HashMap<>();
    String first = "";
    String second = "";
    for (int i = 0; second.isEmpty(); i++) {
      String other = names.put(FlowId.of("o" + i, "p1"), "o" + i);
      if (other != null) {
        first = other;
        second = "o" + i;
      }
    }
    Catalog catalog =
        CATALOG.merge(List.of(new VersionedObject(new Organisation(first, List.of()), 2, 2)), 2);
    assertThat(validate(catalog, new Organisation(second, List.of())))
        .containsExactly("objects[0].name");
  }

  /** Guards against a ticket without number, author or objects. */
  @Test
  void emptyTicketIsRejected() {
    Findings findings = new Findings();
    TicketValidator.validate(
        new Ticket(0, " ", "", List.of()), TicketSource.NoOp.INSTANCE, CATALOG, findings);
    assertThat(findings.toList())
        .extracting(Finding::field)
        .containsExactly("number", "author", "objects");
  }

  /**
   * Builds a target.
   *
   * @param name the name
   * @param pool the pool
   * @param type the type
   * @return the target
   */
  private static Target target(String name, String pool, Target.Type type) {
    return new Target(name, pool, type, 4, null, null, null);
  }

  /**
   * Validates a ticket against the default catalog.
   *
   * @param objects the objects of the ticket
   * @return the fields with findings
   */
  private static List<String> validate(CatalogObject... objects) {
    return validate(CATALOG, objects);
  }

  /**
   * Validates a ticket against a catalog.
   *
   * @param catalog the catalog
   * @param objects the objects of the ticket
   * @return the fields with findings
   */
  private static List<String> validate(Catalog catalog, CatalogObject... objects) {
    Findings findings = new Findings();
    Ticket ticket = new Ticket(9, "kim", "", List.of(objects));
    TicketValidator.validate(ticket, TicketSource.NoOp.INSTANCE, catalog, findings);
    return findings.toList().stream().map(Finding::field).toList();
  }
}

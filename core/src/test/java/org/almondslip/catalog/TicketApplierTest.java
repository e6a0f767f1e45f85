package org.almondslip.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.BeforeTry;
import org.almondslip.catalog.CatalogObject.Organisation;
import org.almondslip.catalog.CatalogObject.Share;
import org.almondslip.error.ErrorCode;
import org.almondslip.store.FaultyTableStore;
import org.almondslip.store.TableStore.Row;
import org.almondslip.time.Simulation;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Tests the application of concurrent and repeated tickets. */
class TicketApplierTest {

  /** Names of the objects that generated tickets change. */
  private static final List<String> NAMES = List.of("a", "b", "c");

  private Simulation simulation;

  /** Outcomes of each ticket, by the key of its record. */
  private final Map<String, List<TicketResult>> results = new HashMap<>();

  /** Resets the state before each try of a property. */
  @BeforeTry
  void reset() {
    simulation = new Simulation();
    results.clear();
  }

  /**
   * Guards against a ticket that is applied twice, is applied after its rejection, or overwrites an
   * equal or higher number when responses are lost, delayed or duplicated.
   *
   * @param seed the seed of tickets and faults
   */
  @Property(tries = 300, seed = "7301", shrinking = ShrinkingMode.OFF)
  void concurrentTicketsAreAppliedAtMostOnce(@ForAll long seed) {
    UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
    FaultyTableStore store = new FaultyTableStore(simulation, seed + 1, 0.1);
    List<TicketApplier> appliers =
        List.of(applier(store, seed + 2), applier(store, seed + 3), applier(store, seed + 4));
    Map<String, Ticket> tickets = new HashMap<>();
    for (int i = 0; i < 12; i++) {
      Ticket ticket = ticket(random);
      tickets.put(ticket.recordKey(), ticket);
      TicketApplier applier = appliers.get(random.nextInt(appliers.size()));
      simulation.after(random.nextLong(1_500), () -> submit(applier, ticket));
    }
    simulation.run(20_000);
    assertThat(results.keySet()).isEqualTo(tickets.keySet());
    checkHistory(store, tickets);
    checkResults(store, tickets);
  }

  /** Guards against a resubmitted ticket that changes the catalog again. */
  @Example
  void resubmittedTicketSucceedsAfterLaterTickets() {
    FaultyTableStore store = new FaultyTableStore(simulation, 1, 0);
    TicketApplier applier = applier(store, 2);
    Ticket first =
        new Ticket(
            5,
            "kim",
            "",
            List.of(new Organisation("a", List.of()), new Organisation("b", List.of())));
    submitAndRun(applier, first);
    submitAndRun(applier, new Ticket(6, "lee", "", List.of(new Organisation("a", List.of()))));
    submitAndRun(applier, first);
    assertThat(results.get(first.recordKey()))
        .containsExactly(new TicketResult.Applied(1, false), new TicketResult.Applied(1, true));
    assertThat(store.rows(CatalogTables.AUDIT)).hasSize(3);
  }

  /** Guards against a rejection that does not contain the stored states. */
  @Example
  void lowerNumberIsRejectedWithStoredStates() {
    FaultyTableStore store = new FaultyTableStore(simulation, 1, 0);
    TicketApplier applier = applier(store, 2);
    submitAndRun(applier, new Ticket(5, "kim", "", List.of(new Organisation("a", List.of()))));
    Ticket lower =
        new Ticket(4, "lee", "", List.of(new Organisation("a", List.of()), new Share("a", 3)));
    submitAndRun(applier, lower);
    assertThat(results.get(lower.recordKey()))
        .containsExactly(
            new TicketResult.Conflict(
                List.of(new VersionedObject(new Organisation("a", List.of()), 5, 1))));
    assertThat(store.rows(CatalogTables.OBJECTS)).hasSize(1);
  }

  /** Guards against a ticket without an outcome while the table service is unavailable. */
  @Example
  void outageIsReportedAsNotApplied() {
    FaultyTableStore store = new FaultyTableStore(simulation, 1, 0);
    store.setDown(true);
    Ticket ticket = new Ticket(5, "kim", "", List.of(new Organisation("a", List.of())));
    submitAndRun(applier(store, 2), ticket);
    TicketResult result = results.get(ticket.recordKey()).get(0);
    assertThat(((TicketResult.Failed) result).code()).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
  }

  /** Guards against a change by a ticket that refers to missing objects. */
  @Example
  void ticketWithFindingsChangesNothing() {
    FaultyTableStore store = new FaultyTableStore(simulation, 1, 0);
    Ticket ticket = new Ticket(5, "kim", "", List.of(new Share("a", 0)));
    submitAndRun(applier(store, 2), ticket);
    TicketResult result = results.get(ticket.recordKey()).get(0);
    assertThat(((TicketResult.Invalid) result).findings()).hasSize(2);
    assertThat(store.rows(CatalogTables.OBJECTS)).isEmpty();
  }

  /**
   * Checks that each revision belongs to one ticket and that ticket numbers of each object
   * increase.
   *
   * @param store the tables
   * @param tickets the tickets by the keys of their records
   */
  private static void checkHistory(FaultyTableStore store, Map<String, Ticket> tickets) {
    Map<Long, List<AuditEntry>> revisions = new TreeMap<>();
    for (Row row : store.rows(CatalogTables.AUDIT)) {
      AuditEntry entry = CatalogTables.auditOf(row);
      revisions.computeIfAbsent(entry.revision(), r -> new ArrayList<>()).add(entry);
    }
    Map<Long, String> records = new HashMap<>();
    store
        .rows(CatalogTables.TICKETS)
        .forEach(row -> records.put(CatalogTables.revisionOf(row), row.key()));
    assertThat(records.keySet()).isEqualTo(revisions.keySet());
    Map<String, VersionedObject> last = new HashMap<>();
    long expected = 1;
    for (Map.Entry<Long, List<AuditEntry>> revision : revisions.entrySet()) {
      assertThat(revision.getKey()).isEqualTo(expected++);
      Ticket ticket = tickets.get(records.get(revision.getKey()));
      assertThat(revision.getValue()).hasSize(ticket.objects().size());
      for (AuditEntry entry : revision.getValue()) {
        VersionedObject state = entry.toState().orElseThrow();
        VersionedObject before = last.put(state.object().key(), state);
        assertThat(before == null || state.supersedes(before)).isTrue();
        assertThat(ticket.objects()).contains(state.object());
      }
    }
    Set<VersionedObject> stored = new HashSet<>();
    store.rows(CatalogTables.OBJECTS).forEach(row -> stored.add(CatalogTables.objectOf(row)));
    assertThat(stored).isEqualTo(new HashSet<>(last.values()));
  }

  /**
   * Checks the reported outcomes against the stored rows.
   *
   * <p>A successful ticket may lack a record of its own if other tickets with the same number have
   * written the same content of all its objects.
   *
   * @param store the tables
   * @param tickets the tickets by the keys of their records
   */
  private void checkResults(FaultyTableStore store, Map<String, Ticket> tickets) {
    Set<String> records = new HashSet<>();
    store.rows(CatalogTables.TICKETS).forEach(row -> records.add(row.key()));
    Set<VersionedObject> written = new HashSet<>();
    for (Row row : store.rows(CatalogTables.AUDIT)) {
      VersionedObject state = CatalogTables.auditOf(row).toState().orElseThrow();
      written.add(new VersionedObject(state.object(), state.number(), 0));
    }
    results.forEach(
        (key, outcomes) -> {
          Ticket ticket = tickets.get(key);
          if (outcomes.stream().anyMatch(TicketResult.Applied.class::isInstance)) {
            for (CatalogObject object : ticket.objects()) {
              assertThat(written).contains(new VersionedObject(object, ticket.number(), 0));
            }
          } else if (outcomes.stream().noneMatch(TicketApplierTest::isUnknown)) {
            assertThat(records).as("%s", outcomes).doesNotContain(key);
          }
        });
  }

  /**
   * Returns whether an outcome was reported as unknown.
   *
   * @param result the outcome
   * @return true for an unknown outcome
   */
  private static boolean isUnknown(TicketResult result) {
    return result instanceof TicketResult.Failed failed
        && failed.code() == ErrorCode.OUTCOME_UNKNOWN;
  }

  /**
   * Builds a ticket from a small set of numbers and objects, so that tickets often conflict or are
   * equal.
   *
   * @param random the random source
   * @return the ticket
   */
  private static Ticket ticket(UniformRandomProvider random) {
    List<CatalogObject> objects = new ArrayList<>();
    for (String name : NAMES) {
      if (random.nextBoolean() || (objects.isEmpty() && name.equals("c"))) {
        objects.add(new Organisation(name, List.of()));
        if (random.nextBoolean()) {
          objects.add(new Share(name, 1 + random.nextInt(2)));
        }
      }
    }
    return new Ticket(1 + random.nextInt(6), "kim", "", objects);
  }

  /**
   * Creates an applier with a catalog of its own.
   *
   * @param store the tables
   * @param seed the seed of the jitter
   * @return the applier
   */
  private TicketApplier applier(FaultyTableStore store, long seed) {
    UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
    CatalogSync sync = new CatalogSync(store, simulation.clock(), random, () -> true, c -> {});
    TicketApplier applier = new TicketApplier(store, sync, simulation.clock(), random);
    simulation.every(10, sync::onTick);
    return applier;
  }

  /**
   * Submits a ticket and records its outcome.
   *
   * @param applier the applier
   * @param ticket the ticket
   */
  private void submit(TicketApplier applier, Ticket ticket) {
    List<TicketResult> outcomes =
        results.computeIfAbsent(ticket.recordKey(), key -> new ArrayList<>());
    applier.apply(ticket, TicketSource.NoOp.INSTANCE, outcomes::add);
  }

  /**
   * Submits a ticket and runs the simulation for longer than a ticket may take.
   *
   * @param applier the applier
   * @param ticket the ticket
   */
  private void submitAndRun(TicketApplier applier, Ticket ticket) {
    submit(applier, ticket);
    simulation.run(10_000);
  }
}

package org.almondslip.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.almondslip.catalog.CatalogObject.Organisation;
import org.almondslip.store.FaultyTableStore;
import org.almondslip.store.StoreResult;
import org.almondslip.store.TableStore.Transaction;
import org.almondslip.store.TableStore.Write;
import org.almondslip.time.Simulation;

/** Tests which rows are read to load missing revisions from the table service. */
class CatalogLoaderTest {

  private final Simulation simulation = new Simulation();

  private final FaultyTableStore store = new FaultyTableStore(simulation, 1, 0);

  /** Guards against skipped changes after old audit entries have been removed. */
  @Example
  void missingAuditEntriesCauseScanOfAllObjects() {
    write("a", 1, false);
    write("b", 2, true);
    Catalog loaded = load(Catalog.EMPTY);
    assertThat(loaded.revision()).isEqualTo(2);
    assertThat(loaded.all()).hasSize(2);
  }

  /** Guards against a scan of all objects for each change. */
  @Example
  void fewMissingRevisionsAreReadFromAuditEntries() {
    for (int i = 1; i <= CatalogLoader.MAX_DELTA_REVISIONS; i++) {
      write("o" + i, i, true);
    }
    int[] reads = new int[1];
    CountingTableStore counting = new CountingTableStore(store, () -> reads[0]++);
    Catalog loaded = load(new CatalogLoader(counting), Catalog.EMPTY.merge(List.of(), 30));
    assertThat(loaded.all()).extracting(state -> state.object().name()).contains("o31", "o32");
    assertThat(reads[0]).isEqualTo(3);
  }

  /** Guards against hundreds of reads by a process that was disconnected for a long time. */
  @Example
  void manyMissingRevisionsCauseScanOfAllObjects() {
    for (int i = 1; i <= CatalogLoader.MAX_DELTA_REVISIONS + 1; i++) {
      write("o" + i, i, true);
    }
    int[] reads = new int[1];
    CountingTableStore counting = new CountingTableStore(store, () -> reads[0]++);
    assertThat(load(new CatalogLoader(counting), Catalog.EMPTY).all()).hasSize(33);
    assertThat(reads[0]).isEqualTo(2);
  }

  /** Guards against a malformed row that is treated as missing. */
  @Example
  void malformedRowFailsRead() {
    put(CatalogTables.STATE, CatalogTables.REVISION, "not json");
    List<StoreResult<CatalogLoader.Loaded>> results = new ArrayList<>();
    new CatalogLoader(store).load(Catalog.EMPTY, results::add);
    simulation.run(1_000);
    assertThat(results.get(0)).isInstanceOf(StoreResult.NotApplied.class);
  }

  /**
   * Writes an object and its revision as an applied ticket does.
   *
   * @param name the name of the object
   * @param revision the revision that the ticket creates
   * @param audited whether an audit entry is written
   */
  private void write(String name, long revision, boolean audited) {
    Organisation object = new Organisation(name, List.of());
    VersionedObject state = new VersionedObject(object, revision, revision);
    put(CatalogTables.OBJECTS, object.key(), CatalogTables.objectValue(state));
    String revisionValue = CatalogTables.revisionValue(revision);
    put(CatalogTables.STATE, CatalogTables.REVISION, revisionValue);
    if (audited) {
      AuditEntry entry =
          new AuditEntry(
              revision,
              revision,
              "kim",
              "",
              "",
              Kind.ORGANISATION.label(),
              name,
              null,
              CatalogTables.json(object));
      String key = CatalogTables.auditPrefix(revision) + object.key();
      put(CatalogTables.AUDIT, key, CatalogTables.auditValue(entry));
    }
  }

  /**
   * Writes a row.
   *
   * @param table the table
   * @param key the key
   * @param value the value
   */
  private void put(String table, String key, String value) {
    Write write = new Write(table, key, Optional.of(value));
    store.transact(new Transaction(List.of(), List.of(write)), outcome -> {});
    simulation.run(1_000);
  }

  /**
   * Loads the catalog.
   *
   * @param known the known catalog
   * @return the loaded catalog
   */
  private Catalog load(Catalog known) {
    return load(new CatalogLoader(store), known);
  }

  /**
   * Loads the catalog.
   *
   * @param loader the loader
   * @param known the known catalog
   * @return the loaded catalog
   */
  private Catalog load(CatalogLoader loader, Catalog known) {
    List<StoreResult<CatalogLoader.Loaded>> results = new ArrayList<>();
    loader.load(known, results::add);
    simulation.run(10_000);
    return ((StoreResult.Success<CatalogLoader.Loaded>) results.get(0)).value().catalog();
  }
}

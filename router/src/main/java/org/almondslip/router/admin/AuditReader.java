package org.almondslip.router.admin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.almondslip.catalog.AuditEntry;
import org.almondslip.catalog.CatalogTables;
import org.almondslip.store.StoreResult;
import org.almondslip.store.TableStore;
import org.almondslip.store.TableStore.Row;

/** Reads audit entries from the newest revision backwards. */
final class AuditReader {

  /**
   * Revisions that one scan covers. Keys start with the revision in decimal digits, so a prefix
   * without the last two digits covers a hundred.
   */
  private static final long BLOCK = 100;

  /** Digits and separator that a prefix of a block leaves out. */
  private static final int OMITTED = 3;

  /** Scans after which a search ends although fewer entries than wanted were found. */
  private static final int MAX_BLOCKS = 50;

  /** Access to the table service. */
  private final TableStore store;

  /** Number of entries wanted. */
  private final int limit;

  /** Which entries are wanted. */
  private final Predicate<AuditEntry> filter;

  /** Receiver of the entries. */
  private final Consumer<StoreResult<List<AuditEntry>>> callback;

  /** Entries found so far, the newest first. */
  private final List<AuditEntry> found = new ArrayList<>();

  /** Scans left. */
  private int blocksLeft = MAX_BLOCKS;

  /**
   * Creates a reader.
   *
   * @param store the access to the table service
   * @param limit the number of entries wanted
   * @param filter which entries are wanted
   * @param callback the receiver of the entries
   */
  AuditReader(
      TableStore store,
      int limit,
      Predicate<AuditEntry> filter,
      Consumer<StoreResult<List<AuditEntry>>> callback) {
    this.store = store;
    this.limit = limit;
    this.filter = filter;
    this.callback = callback;
  }

  /**
   * Reads the block of a revision and, if needed, the ones before it.
   *
   * @param revision the revision
   */
  void read(long revision) {
    if (revision < 0 || found.size() >= limit || blocksLeft-- == 0) {
      List<AuditEntry> newest = found.subList(0, Math.min(limit, found.size()));
      callback.accept(new StoreResult.Success<>(List.copyOf(newest)));
      return;
    }
    String key = CatalogTables.auditPrefix(revision);
    String prefix = key.substring(0, key.length() - OMITTED);
    store.scan(CatalogTables.AUDIT, prefix, result -> onBlock(revision, result));
  }

  /**
   * Takes over the entries of a block.
   *
   * @param revision a revision of the block
   * @param result the rows
   */
  private void onBlock(long revision, StoreResult<List<Row>> result) {
    if (result instanceof StoreResult.Success<List<Row>> success) {
      success.value().stream()
          .map(CatalogTables::auditOf)
          .filter(filter)
          .sorted(Comparator.comparing(AuditEntry::revision).reversed())
          .forEach(found::add);
      read(revision / BLOCK * BLOCK - 1);
    } else {
      callback.accept(new StoreResult.NotApplied<>("the audit entries cannot be read"));
    }
  }
}

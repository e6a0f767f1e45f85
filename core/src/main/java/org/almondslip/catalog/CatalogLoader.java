package org.almondslip.catalog;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.almondslip.error.AlmondslipException;
import org.almondslip.store.StoreResult;
import org.almondslip.store.TableStore;
import org.almondslip.store.TableStore.Row;

/** Reads the changes of the catalog from the table service. */
final class CatalogLoader {

  /**
   * Missing revisions up to which only the audit entries are read. Beyond it one scan of all
   * objects takes less time than a read for each revision.
   */
  static final int DELTA_LIMIT = 32;

  /** Access to the table service. */
  private final TableStore store;

  /**
   * Catalog as the table service holds it.
   *
   * @param catalog the catalog, never older than the one that was known before
   * @param revisionVersion the version of the row with the revision, 0 when there is none
   */
  record Loaded(Catalog catalog, long revisionVersion) {}

  /**
   * State of the catalog's revision at the table service.
   *
   * @param revision the revision, 0 when no ticket has been applied yet
   * @param version the version of the row that holds it, 0 when there is none
   */
  private record Position(long revision, long version) {}

  /**
   * Creates a loader.
   *
   * @param store the access to the table service
   */
  CatalogLoader(TableStore store) {
    this.store = store;
  }

  /**
   * Reads what changed since a known catalog.
   *
   * @param known the known catalog
   * @param callback receives the catalog
   */
  void load(Catalog known, Consumer<StoreResult<Loaded>> callback) {
    store.read(
        CatalogTables.STATE,
        CatalogTables.REVISION,
        result -> then(result, callback, this::toPosition, at -> onPosition(known, at, callback)));
  }

  /**
   * Reads the row with the revision.
   *
   * @param row the row, or empty when no ticket has been applied yet
   * @return the revision and the version of the row
   */
  private Position toPosition(Optional<Row> row) {
    long revision = row.map(CatalogTables::revisionOf).orElse(0L);
    return new Position(revision, row.map(Row::version).orElse(0L));
  }

  /**
   * Decides what to read.
   *
   * @param known the known catalog
   * @param at the revision at the table service
   * @param callback receives the catalog
   */
  private void onPosition(Catalog known, Position at, Consumer<StoreResult<Loaded>> callback) {
    if (at.revision() <= known.revision()) {
      callback.accept(new StoreResult.Success<>(new Loaded(known, at.version())));
    } else if (at.revision() - known.revision() <= DELTA_LIMIT) {
      loadDelta(known, known.revision() + 1, at, new ArrayList<>(), callback);
    } else {
      loadAll(known, at, callback);
    }
  }

  /**
   * Reads the audit entries of one revision after the other. Every ticket writes at least one, so a
   * revision without entries means that old ones have been removed, and all objects are read.
   *
   * @param known the known catalog
   * @param next the next revision to read
   * @param last the revision at the table service
   * @param changes the changes read so far
   * @param callback receives the catalog
   */
  private void loadDelta(
      Catalog known,
      long next,
      Position last,
      List<VersionedObject> changes,
      Consumer<StoreResult<Loaded>> callback) {
    if (next > last.revision()) {
      Loaded loaded = new Loaded(known.merge(changes, last.revision()), last.version());
      callback.accept(new StoreResult.Success<>(loaded));
      return;
    }
    store.scan(
        CatalogTables.AUDIT,
        CatalogTables.auditPrefix(next),
        result ->
            then(
                result,
                callback,
                CatalogLoader::toChanges,
                found -> {
                  if (found.isEmpty()) {
                    loadAll(known, last, callback);
                  } else {
                    changes.addAll(found);
                    loadDelta(known, next + 1, last, changes, callback);
                  }
                }));
  }

  /**
   * Reads audit entries. Kinds that a later release has added are skipped.
   *
   * @param rows the rows of the entries
   * @return the states that the tickets wrote
   */
  private static List<VersionedObject> toChanges(List<Row> rows) {
    return rows.stream()
        .map(CatalogTables::auditOf)
        .map(AuditEntry::toState)
        .flatMap(Optional::stream)
        .toList();
  }

  /**
   * Reads all objects. The scan happens after the read of the revision, so it contains at least the
   * changes up to it.
   *
   * @param known the known catalog
   * @param at the revision that was read before
   * @param callback receives the catalog
   */
  private void loadAll(Catalog known, Position at, Consumer<StoreResult<Loaded>> callback) {
    store.scan(
        CatalogTables.OBJECTS,
        "",
        result ->
            then(
                result,
                callback,
                rows -> rows.stream().map(CatalogTables::objectOf).toList(),
                all -> {
                  Loaded loaded = new Loaded(known.merge(all, at.revision()), at.version());
                  callback.accept(new StoreResult.Success<>(loaded));
                }));
  }

  /**
   * Goes on with the value of a successful read and passes a failed one to the caller. A row that
   * cannot be read counts as a failed read.
   *
   * @param result the result of a read
   * @param callback the caller
   * @param decoder reads the rows
   * @param next what follows
   * @param <T> the type of the rows
   * @param <R> the type of their content
   */
  private static <T, R> void then(
      StoreResult<T> result,
      Consumer<StoreResult<Loaded>> callback,
      Function<T, R> decoder,
      Consumer<R> next) {
    if (!(result instanceof StoreResult.Success<T> success)) {
      callback.accept(new StoreResult.NotApplied<>(detailOf(result)));
      return;
    }
    R content;
    try {
      content = decoder.apply(success.value());
    } catch (AlmondslipException e) {
      callback.accept(new StoreResult.NotApplied<>(e.getMessage()));
      return;
    }
    next.accept(content);
  }

  /**
   * Returns why a call failed.
   *
   * @param result the result
   * @return the detail, empty for a success
   */
  static String detailOf(StoreResult<?> result) {
    if (result instanceof StoreResult.NotApplied<?> failed) {
      return failed.detail();
    }
    return result instanceof StoreResult.Unknown<?> lost ? lost.detail() : "";
  }
}

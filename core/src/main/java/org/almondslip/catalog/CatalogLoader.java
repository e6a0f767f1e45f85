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

/** Loads the catalog from the table service, incrementally if few revisions are missing. */
final class CatalogLoader {

  /**
   * Number of missing revisions up to which only their audit entries are read. Above it, one scan
   * of all objects takes less time than one read for each revision.
   */
  static final int MAX_DELTA_REVISIONS = 32;

  private final TableStore store;

  /**
   * Catalog loaded from the table service.
   *
   * @param catalog the catalog, never older than the known one that was passed to the loader
   * @param revisionVersion the version of the revision row, 0 if the row does not exist
   */
  record Loaded(Catalog catalog, long revisionVersion) {}

  /**
   * Revision of the catalog in the table service.
   *
   * @param revision the revision, 0 if no ticket has been applied yet
   * @param version the version of the revision row, 0 if the row does not exist
   */
  private record StoredRevision(long revision, long version) {}

  /**
   * Creates a loader.
   *
   * @param store the client of the table service
   */
  CatalogLoader(TableStore store) {
    this.store = store;
  }

  /**
   * Loads the changes since a known catalog.
   *
   * @param known the known catalog
   * @param callback receives the catalog
   */
  void load(Catalog known, Consumer<StoreResult<Loaded>> callback) {
    store.read(
        CatalogTables.STATE,
        CatalogTables.REVISION,
        result ->
            decodeThen(
                result,
                callback,
                this::toStoredRevision,
                stored -> onStoredRevision(known, stored, callback)));
  }

  /**
   * Decodes the revision row.
   *
   * @param row the row, or empty if no ticket has been applied yet
   * @return the stored revision
   */
  private StoredRevision toStoredRevision(Optional<Row> row) {
    long revision = row.map(CatalogTables::revisionOf).orElse(0L);
    return new StoredRevision(revision, row.map(Row::version).orElse(0L));
  }

  /**
   * Loads nothing, the missing revisions or all objects, depending on the stored revision.
   *
   * @param known the known catalog
   * @param stored the revision in the table service
   * @param callback receives the catalog
   */
  private void onStoredRevision(
      Catalog known, StoredRevision stored, Consumer<StoreResult<Loaded>> callback) {
    if (stored.revision() <= known.revision()) {
      callback.accept(new StoreResult.Success<>(new Loaded(known, stored.version())));
    } else if (stored.revision() - known.revision() <= MAX_DELTA_REVISIONS) {
      loadDelta(known, known.revision() + 1, stored, new ArrayList<>(), callback);
    } else {
      loadAll(known, stored, callback);
    }
  }

  /**
   * Reads the audit entries revision by revision. Every ticket writes at least one entry. If a
   * revision has none, old entries have been removed and all objects are read instead.
   *
   * @param known the known catalog
   * @param next the next revision to read
   * @param last the revision in the table service
   * @param changes the changes read so far
   * @param callback receives the catalog
   */
  private void loadDelta(
      Catalog known,
      long next,
      StoredRevision last,
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
            decodeThen(
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
   * Decodes audit entries. Entries of kinds that are unknown to this release are skipped.
   *
   * @param rows the rows of the entries
   * @return the object states that the tickets wrote
   */
  private static List<VersionedObject> toChanges(List<Row> rows) {
    return rows.stream()
        .map(CatalogTables::auditOf)
        .map(AuditEntry::toState)
        .flatMap(Optional::stream)
        .toList();
  }

  /**
   * Reads all objects. The scan starts after the revision has been read, so it includes at least
   * all changes up to that revision.
   *
   * @param known the known catalog
   * @param stored the revision that was read before the scan
   * @param callback receives the catalog
   */
  private void loadAll(
      Catalog known, StoredRevision stored, Consumer<StoreResult<Loaded>> callback) {
    store.scan(
        CatalogTables.OBJECTS,
        "",
        result ->
            decodeThen(
                result,
                callback,
                rows -> rows.stream().map(CatalogTables::objectOf).toList(),
                all -> {
                  Loaded loaded = new Loaded(known.merge(all, stored.revision()), stored.version());
                  callback.accept(new StoreResult.Success<>(loaded));
                }));
  }

  /**
   * Decodes the result of a successful read and passes it on, or reports the failure to the
   * callback. A row that cannot be decoded is treated as a failed read.
   *
   * @param result the result of the read
   * @param callback receives a failure
   * @param decoder decodes the rows; throws {@link AlmondslipException} for a malformed row
   * @param next receives the decoded content
   * @param <T> the type of the rows
   * @param <R> the type of the decoded content
   */
  private static <T, R> void decodeThen(
      StoreResult<T> result,
      Consumer<StoreResult<Loaded>> callback,
      Function<T, R> decoder,
      Consumer<R> next) {
    if (!(result instanceof StoreResult.Success<T> success)) {
      callback.accept(new StoreResult.NotApplied<>(failureDetail(result)));
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
   * Returns the reason for a failed call to the table service.
   *
   * @param result the result of the call
   * @return the failure detail, empty for a success
   */
  static String failureDetail(StoreResult<?> result) {
    if (result instanceof StoreResult.NotApplied<?> failed) {
      return failed.detail();
    }
    return result instanceof StoreResult.Unknown<?> lost ? lost.detail() : "";
  }
}

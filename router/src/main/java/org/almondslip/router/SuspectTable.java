package org.almondslip.router;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.store.StoreResult;
import org.almondslip.store.TableStore;

/** Crash marks in the table service, one row for each pair of request and crash. */
final class SuspectTable {

  /** Name of the table. */
  static final String TABLE = "suspects";

  /** Base of the fingerprints in keys. */
  private static final int HEX = 16;

  /** Logger of this class. */
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Table service. */
  private final TableStore store;

  /**
   * Creates the access to the table.
   *
   * @param store the table service
   */
  SuspectTable(TableStore store) {
    this.store = store;
  }

  /**
   * Reads all marks.
   *
   * @param callback receives the marks, and is not called when they cannot be read
   */
  void read(Consumer<List<SuspectNotice>> callback) {
    store.scan(
        TABLE,
        "",
        result -> {
          if (result instanceof StoreResult.Success<List<TableStore.Row>> success) {
            callback.accept(success.value().stream().map(SuspectTable::toNotice).toList());
          }
        });
  }

  /**
   * Writes a mark, or deletes the marks of a request that is cleared. A failure is logged: the
   * processes that know the mark keep it in memory.
   *
   * @param notice the mark
   */
  void record(SuspectNotice notice) {
    String prefix = prefixOf(notice);
    if (notice.getCleared()) {
      store.scan(TABLE, prefix, this::onRows);
    } else {
      String key = prefix + notice.getCrashId();
      String value = new JsonObject().put("crash_id", notice.getCrashId()).encode();
      TableStore.Condition missing = new TableStore.Condition(TABLE, key, 0);
      TableStore.Write write = new TableStore.Write(TABLE, key, Optional.of(value));
      transact(List.of(missing), List.of(write));
    }
  }

  /**
   * Deletes the marks of a cleared request.
   *
   * @param result the rows of the request
   */
  private void onRows(StoreResult<List<TableStore.Row>> result) {
    if (result instanceof StoreResult.Success<List<TableStore.Row>> success) {
      List<TableStore.Condition> unchanged =
          success.value().stream()
              .map(row -> new TableStore.Condition(TABLE, row.key(), row.version()))
              .toList();
      List<TableStore.Write> deletions =
          success.value().stream()
              .map(row -> new TableStore.Write(TABLE, row.key(), Optional.empty()))
              .toList();
      if (!deletions.isEmpty()) {
        transact(unchanged, deletions);
      }
    } else {
      logger.atWarning().log("crash marks of a cleared request could not be read");
    }
  }

  /**
   * Applies writes.
   *
   * @param conditions the conditions
   * @param writes the writes
   */
  private void transact(List<TableStore.Condition> conditions, List<TableStore.Write> writes) {
    store.transact(
        new TableStore.Transaction(conditions, writes),
        result -> {
          if (!(result instanceof StoreResult.Success)) {
            logger.atWarning().log("a crash mark could not be written");
          }
        });
  }

  /**
   * Reads a mark out of a row.
   *
   * @param row the row
   * @return the mark
   */
  private static SuspectNotice toNotice(TableStore.Row row) {
    int slash = row.key().indexOf('/');
    return SuspectNotice.newBuilder()
        .setFingerprint(Long.parseUnsignedLong(row.key().substring(0, slash), HEX))
        .setCrashId(row.key().substring(slash + 1))
        .build();
  }

  /**
   * Returns the start of the keys of a request.
   *
   * @param notice the mark
   * @return the fingerprint in hex and a slash
   */
  private static String prefixOf(SuspectNotice notice) {
    return String.format("%016x/", notice.getFingerprint());
  }
}

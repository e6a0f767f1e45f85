package org.almondslip.order;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.almondslip.store.StoreResult;
import org.almondslip.store.TableStore;
import org.almondslip.store.TableStore.Condition;
import org.almondslip.store.TableStore.Outcome;
import org.almondslip.store.TableStore.Row;
import org.almondslip.store.TableStore.Transaction;
import org.almondslip.store.TableStore.Write;

/**
 * Access to the claim records in the table service.
 *
 * <p>Rows are never deleted, so that no version occurs twice and a delayed write cannot overwrite a
 * later claim.
 */
final class ClaimTable {

  private static final String TABLE_NAME = "claims";

  private final TableStore tables;

  /**
   * Creates access to the claim records.
   *
   * @param tables the platform's tables
   */
  ClaimTable(TableStore tables) {
    this.tables = tables;
  }

  /**
   * Reads the row of an order.
   *
   * @param order the order
   * @param callback receives the row, or empty when none exists
   */
  void read(Order order, Consumer<StoreResult<Optional<Row>>> callback) {
    tables.read(TABLE_NAME, order.rowKey(), callback);
  }

  /**
   * Writes the record of an order if its row still has the expected version.
   *
   * @param order the order
   * @param version the expected version, or 0 when the row must not exist
   * @param record the new record
   * @param callback receives the outcome
   */
  void write(
      Order order, long version, ClaimRecord record, Consumer<StoreResult<Outcome>> callback) {
    tables.transact(
        new Transaction(
            List.of(new Condition(TABLE_NAME, order.rowKey(), version)),
            List.of(new Write(TABLE_NAME, order.rowKey(), Optional.of(record.toJson())))),
        callback);
  }
}

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
 * Table of claim records.
 *
 * <p>Rows are never deleted, so a version is never used twice and a write that was delayed on its
 * way can never hit a later claim by chance.
 */
final class ClaimTable {

  /** Name of the table. */
  private static final String NAME = "claims";

  /** The platform's tables. */
  private final TableStore tables;

  /**
   * Creates access to the table.
   *
   * @param tables the platform's tables
   */
  ClaimTable(TableStore tables) {
    this.tables = tables;
  }

  /**
   * Reads the record of an order.
   *
   * @param order the order
   * @param callback receives the row, or empty when there is none
   */
  void read(Order order, Consumer<StoreResult<Optional<Row>>> callback) {
    tables.read(NAME, order.rowKey(), callback);
  }

  /**
   * Writes the record of an order if its row still has a version.
   *
   * @param order the order
   * @param version the version that the row must have, 0 when it must not exist
   * @param record the new record
   * @param callback receives the outcome
   */
  void write(
      Order order, long version, ClaimRecord record, Consumer<StoreResult<Outcome>> callback) {
    tables.transact(
        new Transaction(
            List.of(new Condition(NAME, order.rowKey(), version)),
            List.of(new Write(NAME, order.rowKey(), Optional.of(record.toJson())))),
        callback);
  }
}

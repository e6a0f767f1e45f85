package org.almondslip.store;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The platform's transactional tables.
 *
 * <p>Calls return at once; the callback runs once, on the thread that the implementation names.
 */
public interface TableStore {

  /**
   * Reads a row.
   *
   * @param table the table
   * @param key the key of the row
   * @param callback receives the row, or empty when there is none
   */
  void read(String table, String key, Consumer<StoreResult<Optional<Row>>> callback);

  /**
   * Reads the rows whose keys start with a prefix, in the order of their keys.
   *
   * @param table the table
   * @param prefix the prefix
   * @param callback receives the rows
   */
  void scan(String table, String prefix, Consumer<StoreResult<List<Row>>> callback);

  /**
   * Applies writes if all conditions hold, all or nothing.
   *
   * @param transaction the conditions and writes
   * @param callback receives the outcome
   */
  void transact(Transaction transaction, Consumer<StoreResult<Outcome>> callback);

  /**
   * A row.
   *
   * @param key the key
   * @param version a number that rises with each write of the row, starting at 1
   * @param value the value, JSON text
   */
  record Row(String key, long version, String value) {}

  /**
   * Conditions and writes that are applied together.
   *
   * @param conditions what must hold
   * @param writes what is written
   */
  record Transaction(List<Condition> conditions, List<Write> writes) {

    /**
     * Copies the lists.
     *
     * @param conditions what must hold
     * @param writes what is written
     */
    public Transaction {
      conditions = List.copyOf(conditions);
      writes = List.copyOf(writes);
    }
  }

  /**
   * Version that a row must have.
   *
   * @param table the table
   * @param key the key
   * @param version the version, 0 when the row must not exist
   */
  record Condition(String table, String key, long version) {}

  /**
   * New value of a row.
   *
   * @param table the table
   * @param key the key
   * @param value the value, or empty to delete the row
   */
  record Write(String table, String key, Optional<String> value) {}

  /**
   * Outcome of a transaction.
   *
   * @param applied whether the conditions held and the writes were applied
   * @param conflicts the conditions that did not hold, with the rows as they stand
   */
  record Outcome(boolean applied, List<Row> conflicts) {}
}

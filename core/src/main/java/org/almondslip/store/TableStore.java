package org.almondslip.store;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The platform's transactional tables.
 *
 * <p>Methods return immediately. The callback runs exactly once, on a thread that the
 * implementation specifies.
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
   * Reads the rows whose keys start with a prefix, sorted by key.
   *
   * @param table the table
   * @param prefix the prefix
   * @param callback receives the rows
   */
  void scan(String table, String prefix, Consumer<StoreResult<List<Row>>> callback);

  /**
   * Applies all writes atomically if all conditions hold, and none otherwise.
   *
   * @param transaction the conditions and writes
   * @param callback receives the outcome
   */
  void transact(Transaction transaction, Consumer<StoreResult<Outcome>> callback);

  /**
   * A row.
   *
   * @param key the key
   * @param version the version, which starts at 1 and increases with each write of the row
   * @param value the value as JSON text
   */
  record Row(String key, long version, String value) {}

  /**
   * Conditional writes that are applied atomically.
   *
   * @param conditions the required row versions
   * @param writes the writes
   */
  record Transaction(List<Condition> conditions, List<Write> writes) {

    /**
     * Creates a transaction with copies of the lists.
     *
     * @param conditions the required row versions
     * @param writes the writes
     */
    public Transaction {
      conditions = List.copyOf(conditions);
      writes = List.copyOf(writes);
    }
  }

  /**
   * Required version of a row.
   *
   * @param table the table
   * @param key the key
   * @param version the version, 0 if the row must not exist
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
   * @param conflicts the current rows of the conditions that did not hold
   */
  record Outcome(boolean applied, List<Row> conflicts) {}
}

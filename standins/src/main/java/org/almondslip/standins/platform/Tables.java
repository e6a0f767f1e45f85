package org.almondslip.standins.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.almondslip.store.TableStore.Condition;
import org.almondslip.store.TableStore.Outcome;
import org.almondslip.store.TableStore.Row;
import org.almondslip.store.TableStore.Transaction;
import org.almondslip.store.TableStore.Write;

/** Transactional tables in memory. */
public final class Tables {

  /** Rows of each table in the order of their keys. */
  private final Map<String, TreeMap<String, Row>> rows = new HashMap<>();

  /** Last versions of deleted rows, so that a version never stands for two states of a row. */
  private final Map<String, Long> deleted = new HashMap<>();

  /**
   * Reads a row.
   *
   * @param table the table
   * @param key the key
   * @return the row, or empty when there is none
   */
  public synchronized Optional<Row> read(String table, String key) {
    return Optional.ofNullable(table(table).get(key));
  }

  /**
   * Reads the rows whose keys start with a prefix.
   *
   * @param table the table
   * @param prefix the prefix
   * @return the rows in the order of their keys
   */
  public synchronized List<Row> scan(String table, String prefix) {
    List<Row> found = new ArrayList<>();
    for (Row row : table(table).tailMap(prefix).values()) {
      if (!row.key().startsWith(prefix)) {
        break;
      }
      found.add(row);
    }
    return found;
  }

  /**
   * Applies writes if all conditions hold.
   *
   * @param transaction the conditions and writes
   * @return the outcome
   */
  public synchronized Outcome transact(Transaction transaction) {
    List<Row> conflicts = new ArrayList<>();
    for (Condition condition : transaction.conditions()) {
      Row row = table(condition.table()).get(condition.key());
      long version = row == null ? 0 : row.version();
      if (version != condition.version()) {
        conflicts.add(row == null ? new Row(condition.key(), 0, "") : row);
      }
    }
    if (conflicts.isEmpty()) {
      transaction.writes().forEach(this::apply);
    }
    return new Outcome(conflicts.isEmpty(), conflicts);
  }

  /**
   * Applies a write.
   *
   * @param write the write
   */
  private void apply(Write write) {
    TreeMap<String, Row> table = table(write.table());
    String path = write.table() + "/" + write.key();
    Row before = table.get(write.key());
    long version = before == null ? deleted.getOrDefault(path, 0L) : before.version();
    if (write.value().isPresent()) {
      table.put(write.key(), new Row(write.key(), version + 1, write.value().get()));
      deleted.remove(path);
    } else if (before != null) {
      table.remove(write.key());
      deleted.put(path, version);
    }
  }

  /**
   * Returns a table.
   *
   * @param name the name
   * @return its rows
   */
  private TreeMap<String, Row> table(String name) {
    return rows.computeIfAbsent(name, n -> new TreeMap<>());
  }
}

package org.almondslip.catalog;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.almondslip.store.StoreResult;
import org.almondslip.store.TableStore;

/**
 * Table store that reports each read and scan before delegating it.
 *
 * @param store the store to delegate to
 * @param onRead called before each read or scan
 */
record CountingTableStore(TableStore store, Runnable onRead) implements TableStore {

  @Override
  public void read(String table, String key, Consumer<StoreResult<Optional<Row>>> callback) {
    onRead.run();
    store.read(table, key, callback);
  }

  @Override
  public void scan(String table, String prefix, Consumer<StoreResult<List<Row>>> callback) {
    onRead.run();
    store.scan(table, prefix, callback);
  }

  @Override
  public void transact(Transaction transaction, Consumer<StoreResult<Outcome>> callback) {
    store.transact(transaction, callback);
  }
}

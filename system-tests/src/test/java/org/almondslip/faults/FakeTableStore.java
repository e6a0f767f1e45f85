package org.almondslip.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.almondslip.store.StoreResult;
import org.almondslip.store.TableStore;

/** Table service in memory that can be down, slow, or lose answers after writing. */
final class FakeTableStore {

  private static final long ANSWER_MILLIS = 3;
  private static final long TIMEOUT_MILLIS = 1_000;

  private final Timeline timeline;
  private final Map<String, TableStore.Row> rows = new TreeMap<>();
  private Mode mode = Mode.UP;
  private Runnable onTransact = () -> {};

  /** State of the service. */
  enum Mode {
    UP,
    DOWN,
    SLOW,
    LOSES_ANSWERS
  }

  FakeTableStore(Timeline timeline) {
    this.timeline = timeline;
  }

  void setMode(Mode next) {
    mode = next;
  }

  void setOnTransact(Runnable hook) {
    onTransact = hook;
  }

  TableStore clientOf(Node node) {
    return new Client(node);
  }

  private TableStore.Outcome apply(TableStore.Transaction transaction) {
    List<TableStore.Row> conflicts = new ArrayList<>();
    boolean holds = true;
    for (TableStore.Condition condition : transaction.conditions()) {
      TableStore.Row row = rows.get(condition.table() + "/" + condition.key());
      if ((row == null ? 0 : row.version()) != condition.version()) {
        holds = false;
        Optional.ofNullable(row).ifPresent(conflicts::add);
      }
    }
    if (holds) {
      transaction.writes().forEach(this::write);
    }
    return new TableStore.Outcome(holds, conflicts);
  }

  private void write(TableStore.Write write) {
    String key = write.table() + "/" + write.key();
    TableStore.Row old = rows.remove(key);
    long version = old == null ? 1 : old.version() + 1;
    write.value().ifPresent(v -> rows.put(key, new TableStore.Row(write.key(), version, v)));
  }

  /** Client of one process; its callbacks wait while the process is paused. */
  private final class Client implements TableStore {

    private final Node node;

    Client(Node node) {
      this.node = node;
    }

    @Override
    public void read(String table, String key, Consumer<StoreResult<Optional<Row>>> callback) {
      call(false, callback, () -> Optional.ofNullable(rows.get(table + "/" + key)));
    }

    @Override
    public void scan(String table, String prefix, Consumer<StoreResult<List<Row>>> callback) {
      call(
          false,
          callback,
          () -> rows.values().stream().filter(row -> row.key().startsWith(prefix)).toList());
    }

    @Override
    public void transact(Transaction transaction, Consumer<StoreResult<Outcome>> callback) {
      onTransact.run();
      call(true, callback, () -> apply(transaction));
    }

    private <T> void call(
        boolean write, Consumer<StoreResult<T>> callback, java.util.function.Supplier<T> action) {
      switch (mode) {
        case UP -> timeline.after(1, () -> answer(callback, action.get(), ANSWER_MILLIS));
        case SLOW -> timeline.after(1, () -> answer(callback, action.get(), TIMEOUT_MILLIS / 2));
        case DOWN -> answer(callback, new StoreResult.NotApplied<>("refused"), ANSWER_MILLIS);
        default -> {
          if (write) {
            timeline.after(1, action::get);
          }
          answer(callback, new StoreResult.Unknown<>("no answer"), TIMEOUT_MILLIS);
        }
      }
    }

    private <T> void answer(Consumer<StoreResult<T>> callback, T value, long millis) {
      answer(callback, new StoreResult.Success<>(value), millis);
    }

    private <T> void answer(Consumer<StoreResult<T>> callback, StoreResult<T> result, long millis) {
      timeline.after(millis, () -> node.run(() -> callback.accept(result)));
    }
  }
}

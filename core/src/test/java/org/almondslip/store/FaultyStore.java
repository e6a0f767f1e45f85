package org.almondslip.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * In-memory table and object store that injects faults. Calls are queued and run by {@link #step}.
 */
public final class FaultyStore implements TableStore, ObjectStore {

  /** Fault injected into a call. */
  public enum Fault {
    /** The call is applied and its response is delivered. */
    NONE,
    /** The call is applied but its response is lost. */
    ANSWER_LOST,
    /** The call is lost before it is applied. */
    REQUEST_LOST,
    /** The call is applied after its caller has timed out. */
    LATE,
    /** The call is rejected without effect. */
    REFUSED
  }

  /** Rows by table and key. */
  public final Map<String, Row> rows = new HashMap<>();

  /** Objects by key. */
  public final Map<String, byte[]> values = new HashMap<>();

  /** Queued calls. */
  private final Deque<Runnable> pendingCalls = new ArrayDeque<>();

  /** Calls that are still to be applied although their caller has timed out. */
  private final List<Runnable> lateCalls = new ArrayList<>();

  /** Selects the fault of each call. */
  private Supplier<Fault> faults;

  /**
   * Creates empty stores.
   *
   * @param faults selects the fault of each call
   */
  public FaultyStore(Supplier<Fault> faults) {
    this.faults = faults;
  }

  /** Injects no faults from now on. */
  public void clearFaults() {
    faults = () -> Fault.NONE;
  }

  /** Runs the oldest queued call; returns false if there is none. */
  public boolean step() {
    Runnable call = pendingCalls.pollFirst();
    if (call != null) {
      call.run();
    }
    return call != null;
  }

  /** Runs all queued calls, including those that callbacks add. */
  public void drain() {
    while (step()) {
      continue;
    }
  }

  /** Applies a random call whose caller has timed out, if there is one. */
  public void applyLateWrite(Random random) {
    if (!lateCalls.isEmpty()) {
      lateCalls.remove(random.nextInt(lateCalls.size())).run();
    }
  }

  @Override
  public void read(String table, String key, Consumer<StoreResult<Optional<Row>>> callback) {
    call(() -> Optional.ofNullable(rows.get(table + "/" + key)), callback);
  }

  @Override
  public void scan(String table, String prefix, Consumer<StoreResult<List<Row>>> callback) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void transact(Transaction transaction, Consumer<StoreResult<Outcome>> callback) {
    call(() -> apply(transaction), callback);
  }

  @Override
  public void put(String key, byte[] value, Consumer<StoreResult<Boolean>> callback) {
    call(() -> values.put(key, value) == null, callback);
  }

  @Override
  public void get(String key, Consumer<StoreResult<Optional<byte[]>>> callback) {
    call(() -> Optional.ofNullable(values.get(key)), callback);
  }

  private <T> void call(Supplier<T> action, Consumer<StoreResult<T>> callback) {
    pendingCalls.addLast(
        () -> {
          switch (faults.get()) {
            case NONE -> callback.accept(new StoreResult.Success<>(action.get()));
            case ANSWER_LOST -> {
              action.get();
              callback.accept(new StoreResult.Unknown<>("answer lost"));
            }
            case REQUEST_LOST -> callback.accept(new StoreResult.Unknown<>("request lost"));
            case LATE -> {
              lateCalls.add(action::get);
              callback.accept(new StoreResult.Unknown<>("late"));
            }
            default -> callback.accept(new StoreResult.NotApplied<>("refused"));
          }
        });
  }

  private Outcome apply(Transaction transaction) {
    List<Row> conflicts = new ArrayList<>();
    boolean holds = true;
    for (Condition condition : transaction.conditions()) {
      Row row = rows.get(condition.table() + "/" + condition.key());
      if ((row == null ? 0 : row.version()) != condition.version()) {
        holds = false;
        Optional.ofNullable(row).ifPresent(conflicts::add);
      }
    }
    if (holds) {
      transaction.writes().forEach(this::write);
    }
    return new Outcome(holds, conflicts);
  }

  private void write(Write write) {
    String name = write.table() + "/" + write.key();
    Row row = rows.get(name);
    long version = row == null ? 1 : row.version() + 1;
    rows.put(name, new Row(write.key(), version, write.value().orElseThrow()));
  }
}

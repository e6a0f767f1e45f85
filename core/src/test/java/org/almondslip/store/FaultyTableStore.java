package org.almondslip.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.almondslip.time.Simulation;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** In-memory tables that delay, reject or duplicate calls or drop their responses. */
public final class FaultyTableStore implements TableStore {

  /** Time after which a call without a response fails, in milliseconds. */
  private static final long CALL_TIMEOUT_MILLIS = 200;

  /** Maximum delay of a request or a response without faults, in milliseconds. */
  private static final long MAX_ONE_WAY_DELAY_MILLIS = 40;

  private final Simulation simulation;

  /** Source of delays and faults. */
  private final UniformRandomProvider random;

  /** Rows by table and key. */
  private final Map<String, TreeMap<String, Row>> tables = new TreeMap<>();

  /** Probability of each kind of fault per call. */
  private final double faultRate;

  /** Whether all calls are rejected. */
  private boolean down;

  /**
   * Creates empty tables.
   *
   * @param simulation the simulated time
   * @param seed the seed of the delays and faults
   * @param faultRate the probability of each kind of fault per call
   */
  public FaultyTableStore(Simulation simulation, long seed, double faultRate) {
    this.simulation = simulation;
    this.random = RandomSource.SPLIT_MIX_64.create(seed);
    this.faultRate = faultRate;
  }

  /**
   * Starts or ends an outage.
   *
   * @param isDown whether all calls are rejected
   */
  public void setDown(boolean isDown) {
    down = isDown;
  }

  /**
   * Returns the current rows of a table.
   *
   * @param table the table
   * @return the rows
   */
  public List<Row> rows(String table) {
    return List.copyOf(table(table).values());
  }

  @Override
  public void read(String table, String key, Consumer<StoreResult<Optional<Row>>> callback) {
    call(() -> Optional.ofNullable(table(table).get(key)), callback);
  }

  @Override
  public void scan(String table, String prefix, Consumer<StoreResult<List<Row>>> callback) {
    call(() -> rows(table).stream().filter(r -> r.key().startsWith(prefix)).toList(), callback);
  }

  @Override
  public void transact(Transaction transaction, Consumer<StoreResult<Outcome>> callback) {
    call(() -> apply(transaction), callback);
    if (faultOccurs()) {
      simulation.after(random.nextLong(3 * CALL_TIMEOUT_MILLIS), () -> apply(transaction));
    }
  }

  /**
   * Executes a call with random delays and faults.
   *
   * @param operation the operation of the service
   * @param callback receives the result
   * @param <T> the type of the result
   */
  private <T> void call(Supplier<T> operation, Consumer<StoreResult<T>> callback) {
    if (down || faultOccurs()) {
      simulation.after(1, () -> callback.accept(new StoreResult.NotApplied<>("refused")));
      return;
    }
    long requestDelay =
        1 + random.nextLong(faultOccurs() ? 4 * CALL_TIMEOUT_MILLIS : MAX_ONE_WAY_DELAY_MILLIS);
    long responseDelay =
        faultOccurs() ? CALL_TIMEOUT_MILLIS : 1 + random.nextLong(MAX_ONE_WAY_DELAY_MILLIS);
    boolean timedOut = requestDelay + responseDelay >= CALL_TIMEOUT_MILLIS;
    simulation.after(
        requestDelay,
        () -> {
          T answer = operation.get();
          if (!timedOut) {
            simulation.after(
                responseDelay, () -> callback.accept(new StoreResult.Success<>(answer)));
          }
        });
    if (timedOut) {
      simulation.after(
          CALL_TIMEOUT_MILLIS, () -> callback.accept(new StoreResult.Unknown<>("no answer")));
    }
  }

  /**
   * Returns whether a fault occurs.
   *
   * @return true with the probability of the fault rate
   */
  private boolean faultOccurs() {
    return random.nextDouble() < faultRate;
  }

  /**
   * Applies a transaction if its conditions hold.
   *
   * @param transaction the transaction
   * @return the outcome
   */
  private Outcome apply(Transaction transaction) {
    List<Row> conflicts = new ArrayList<>();
    for (Condition condition : transaction.conditions()) {
      Row row = table(condition.table()).get(condition.key());
      if ((row == null ? 0 : row.version()) != condition.version()) {
        conflicts.add(row == null ? new Row(condition.key(), 0, "") : row);
      }
    }
    if (conflicts.isEmpty()) {
      for (Write write : transaction.writes()) {
        Row before = table(write.table()).get(write.key());
        long version = before == null ? 1 : before.version() + 1;
        Row after = new Row(write.key(), version, write.value().orElseThrow());
        table(write.table()).put(write.key(), after);
      }
    }
    return new Outcome(conflicts.isEmpty(), conflicts);
  }

  /**
   * Returns a table.
   *
   * @param name the name
   * @return its rows by key
   */
  private TreeMap<String, Row> table(String name) {
    return tables.computeIfAbsent(name, n -> new TreeMap<>());
  }
}

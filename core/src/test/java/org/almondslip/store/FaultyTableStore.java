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

/** Tables in memory whose calls are delayed, refused, repeated or lose their answers. */
public final class FaultyTableStore implements TableStore {

  /** Time after which a call without an answer is reported as lost, in milliseconds. */
  private static final long LIMIT = 200;

  /** Longest way of a call or answer in normal operation, in milliseconds. */
  private static final long MAX_WAY = 40;

  /** Simulated time. */
  private final Simulation simulation;

  /** Source of the faults. */
  private final UniformRandomProvider random;

  /** Rows by table and key. */
  private final Map<String, TreeMap<String, Row>> tables = new TreeMap<>();

  /** Portion of the calls that each kind of fault hits. */
  private final double faultRate;

  /** Whether no call reaches the service. */
  private boolean down;

  /**
   * Creates empty tables.
   *
   * @param simulation the simulated time
   * @param seed the seed of the faults
   * @param faultRate the portion of the calls that each kind of fault hits
   */
  public FaultyTableStore(Simulation simulation, long seed, double faultRate) {
    this.simulation = simulation;
    this.random = RandomSource.SPLIT_MIX_64.create(seed);
    this.faultRate = faultRate;
  }

  /**
   * Starts or ends an outage.
   *
   * @param isDown whether no call reaches the service
   */
  public void setDown(boolean isDown) {
    down = isDown;
  }

  /**
   * Returns the rows of a table as they stand.
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
    if (hit()) {
      simulation.after(random.nextLong(3 * LIMIT), () -> apply(transaction));
    }
  }

  /**
   * Sends a call with random delays and faults.
   *
   * @param work what the service does
   * @param callback receives the answer
   * @param <T> the type of the answer
   */
  private <T> void call(Supplier<T> work, Consumer<StoreResult<T>> callback) {
    if (down || hit()) {
      simulation.after(1, () -> callback.accept(new StoreResult.NotApplied<>("refused")));
      return;
    }
    long way = 1 + random.nextLong(hit() ? 4 * LIMIT : MAX_WAY);
    long back = hit() ? LIMIT : 1 + random.nextLong(MAX_WAY);
    boolean lost = way + back >= LIMIT;
    simulation.after(
        way,
        () -> {
          T answer = work.get();
          if (!lost) {
            simulation.after(back, () -> callback.accept(new StoreResult.Success<>(answer)));
          }
        });
    if (lost) {
      simulation.after(LIMIT, () -> callback.accept(new StoreResult.Unknown<>("no answer")));
    }
  }

  /**
   * Decides whether a fault hits.
   *
   * @return true with the probability of the fault rate
   */
  private boolean hit() {
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

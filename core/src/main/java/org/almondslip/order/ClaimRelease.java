package org.almondslip.order;

import java.util.Optional;
import org.almondslip.store.StoreResult;
import org.almondslip.store.TableStore.Outcome;
import org.almondslip.store.TableStore.Row;

/**
 * Release of a claim whose call surely was not sent.
 *
 * <p>It also settles a claim whose write was lost: it raises the version of the row above the one
 * that the lost write expects, so that the write fails if it still arrives.
 */
final class ClaimRelease implements RetryQueue.Task {

  /** Table of claim records. */
  private final ClaimTable table;

  /** Order of the claim. */
  private final Order order;

  /** Record that releases the claim. */
  private final ClaimRecord released;

  /** Highest version that a write of the claim expected. */
  private final long triedVersion;

  /**
   * Creates a release.
   *
   * @param table the table of claim records
   * @param order the order
   * @param started the record that was, or may have been, written
   * @param triedVersion the highest version that a write of the claim expected
   */
  ClaimRelease(ClaimTable table, Order order, ClaimRecord started, long triedVersion) {
    this.table = table;
    this.order = order;
    this.released = started.withReleased();
    this.triedVersion = triedVersion;
  }

  @Override
  public void attempt(Runnable settled, Runnable retry) {
    table.read(
        order,
        result -> {
          if (result instanceof StoreResult.Success<Optional<Row>> row) {
            settle(row.value(), settled, retry);
          } else {
            retry.run();
          }
        });
  }

  @Override
  public int bytes() {
    return 0;
  }

  /**
   * Goes on with the row as it stands.
   *
   * @param row the row, empty when there is none
   * @param settled to be called when nothing is left to do
   * @param retry to be called when the release has to be tried again
   */
  private void settle(Optional<Row> row, Runnable settled, Runnable retry) {
    long version = row.map(Row::version).orElse(0L);
    boolean ours =
        row.filter(
                found -> ClaimRecord.parse(found.value()).is(order.identity(), ClaimState.STARTED))
            .isPresent();
    if (!ours && version > triedVersion) {
      settled.run();
      return;
    }
    table.write(
        order,
        version,
        released,
        result -> {
          if (result instanceof StoreResult.Success<Outcome> outcome && outcome.value().applied()) {
            settled.run();
          } else {
            retry.run();
          }
        });
  }
}

package org.almondslip.order;

import java.util.Optional;
import org.almondslip.store.StoreResult;
import org.almondslip.store.TableStore.Outcome;
import org.almondslip.store.TableStore.Row;

/**
 * Releases a claim whose call was certainly not sent.
 *
 * <p>This also covers a claim whose write has an unknown outcome: the release raises the row
 * version above the one that the write expects, so that the write fails if the store applies it
 * later.
 */
final class ClaimRelease implements RetryQueue.Task {

  private final ClaimTable table;

  private final Order order;

  private final ClaimRecord releasedRecord;

  /** Highest row version that a write of the claim expected. */
  private final long highestExpectedVersion;

  /**
   * Creates a release.
   *
   * @param table the table of claim records
   * @param order the order of the claim
   * @param startedRecord the record that was, or may have been, written
   * @param highestExpectedVersion the highest row version that a write of the claim expected
   */
  ClaimRelease(
      ClaimTable table, Order order, ClaimRecord startedRecord, long highestExpectedVersion) {
    this.table = table;
    this.order = order;
    this.releasedRecord = startedRecord.asReleased();
    this.highestExpectedVersion = highestExpectedVersion;
  }

  @Override
  public void attempt(Runnable settled, Runnable retry) {
    table.read(
        order,
        result -> {
          if (result instanceof StoreResult.Success<Optional<Row>> row) {
            releaseRow(row.value(), settled, retry);
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
   * Writes the released record unless the row already rules out that the claim takes effect.
   *
   * @param row the current row, or empty when none exists
   * @param settled called when no further attempt is needed
   * @param retry called when the release must be retried
   */
  private void releaseRow(Optional<Row> row, Runnable settled, Runnable retry) {
    long version = row.map(Row::version).orElse(0L);
    boolean claimed =
        row.filter(
                found ->
                    ClaimRecord.parse(found.value()).matches(order.identity(), ClaimState.STARTED))
            .isPresent();
    if (!claimed && version > highestExpectedVersion) {
      settled.run();
      return;
    }
    table.write(
        order,
        version,
        releasedRecord,
        result -> {
          if (result instanceof StoreResult.Success<Outcome> outcome && outcome.value().applied()) {
            settled.run();
          } else {
            retry.run();
          }
        });
  }
}

package org.almondslip.order;

import java.util.Optional;
import org.almondslip.store.ObjectStore;
import org.almondslip.store.StoreResult;
import org.almondslip.store.TableStore.Outcome;
import org.almondslip.store.TableStore.Row;
import org.apache.commons.codec.digest.DigestUtils;

/** Records the answer of a claimed order, with a large body in the object store. */
final class ClaimCompletion implements RetryQueue.Task {

  /** Prefix of the object keys of bodies. */
  private static final String OBJECT_PREFIX = "answers/";

  private final ClaimTable table;

  /** Store of the bodies that exceed the inline limit. */
  private final ObjectStore objects;

  private final Claim claim;

  /** Answer to record, or empty when it was too large to keep. */
  private final Optional<StoredAnswer> answer;

  /** Maximum size of a body that is stored in the record. */
  private final int inlineBytes;

  /** Row version that the next write expects. */
  private long version;

  private boolean bodyStored;

  /**
   * Creates a completion.
   *
   * @param table the table of claim records
   * @param objects the store of the bodies that exceed the inline limit
   * @param claim the claim to complete
   * @param answer the answer to record, or empty when it was too large to keep
   * @param inlineBytes the maximum size of a body that is stored in the record, in bytes
   */
  ClaimCompletion(
      ClaimTable table,
      ObjectStore objects,
      Claim claim,
      Optional<StoredAnswer> answer,
      int inlineBytes) {
    this.table = table;
    this.objects = objects;
    this.claim = claim;
    this.answer = answer;
    this.inlineBytes = inlineBytes;
    this.version = claim.version();
  }

  @Override
  public void attempt(Runnable settled, Runnable retry) {
    if (!exceedsInlineLimit() || bodyStored) {
      write(settled, retry);
      return;
    }
    objects.put(
        objectKey(),
        answer.orElseThrow().body().toByteArray(),
        result -> {
          if (result instanceof StoreResult.Success) {
            bodyStored = true;
            write(settled, retry);
          } else {
            retry.run();
          }
        });
  }

  @Override
  public int bytes() {
    return answer.map(present -> present.body().size()).orElse(0);
  }

  /**
   * Writes the claim record with the answer.
   *
   * @param settled called when no further attempt is needed
   * @param retry called when the write must be retried
   */
  private void write(Runnable settled, Runnable retry) {
    Optional<RecordedAnswer> recorded =
        answer.map(
            present ->
                exceedsInlineLimit()
                    ? RecordedAnswer.inObject(present, objectKey())
                    : RecordedAnswer.inline(present));
    table.write(
        claim.order(),
        version,
        claim.record().asDone(recorded),
        result -> {
          if (result instanceof StoreResult.Success<Outcome> outcome) {
            onOutcome(outcome.value(), settled, retry);
          } else {
            retry.run();
          }
        });
  }

  /**
   * Handles the outcome of a write. A conflict with the claim's own started record means that the
   * expected version was stale, so the write is retried with the current one.
   *
   * @param outcome the outcome of the write
   * @param settled called when no further attempt is needed
   * @param retry called when the write must be retried
   */
  private void onOutcome(Outcome outcome, Runnable settled, Runnable retry) {
    Optional<Row> row = outcome.conflicts().stream().findFirst();
    String identity = claim.order().identity();
    boolean staleVersion =
        row.filter(found -> ClaimRecord.parse(found.value()).matches(identity, ClaimState.STARTED))
            .isPresent();
    if (!outcome.applied() && staleVersion) {
      version = row.orElseThrow().version();
      retry.run();
    } else {
      settled.run();
    }
  }

  /**
   * Returns whether the body is stored in the object store.
   *
   * @return true when the body exceeds the inline limit
   */
  private boolean exceedsInlineLimit() {
    return bytes() > inlineBytes;
  }

  /**
   * Returns the key of the body in the object store.
   *
   * @return the key, derived from the identity of the claim
   */
  private String objectKey() {
    return OBJECT_PREFIX + DigestUtils.sha256Hex(claim.order().identity());
  }
}

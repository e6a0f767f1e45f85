package org.almondslip.order;

import java.util.Optional;
import org.almondslip.store.ObjectStore;
import org.almondslip.store.StoreResult;
import org.almondslip.store.TableStore.Outcome;
import org.almondslip.store.TableStore.Row;
import org.apache.commons.codec.digest.DigestUtils;

/** Record of a claimed order's answer, written once the target has answered. */
final class ClaimCompletion implements RetryQueue.Task {

  /** Prefix of the keys of bodies in the object store. */
  private static final String OBJECT_PREFIX = "answers/";

  /** Table of claim records. */
  private final ClaimTable table;

  /** Store of large bodies. */
  private final ObjectStore objects;

  /** Claim that is completed. */
  private final Claim claim;

  /** Answer to record, empty when it was too large to keep. */
  private final Optional<StoredAnswer> answer;

  /** Size up to which a body is kept in the record, in bytes. */
  private final int inlineBytes;

  /** Version of the row. */
  private long version;

  /** Whether the body is in the object store. */
  private boolean stored;

  /**
   * Creates a completion.
   *
   * @param table the table of claim records
   * @param objects the store of large bodies
   * @param claim the claim that is completed
   * @param answer the answer to record, empty when it was too large to keep
   * @param inlineBytes the size up to which a body is kept in the record, in bytes
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
    if (!isLarge() || stored) {
      write(settled, retry);
      return;
    }
    objects.put(
        objectKey(),
        answer.orElseThrow().body().toByteArray(),
        result -> {
          if (result instanceof StoreResult.Success) {
            stored = true;
            write(settled, retry);
          } else {
            retry.run();
          }
        });
  }

  @Override
  public int bytes() {
    return answer.map(known -> known.body().size()).orElse(0);
  }

  /**
   * Writes the record.
   *
   * @param settled to be called when nothing is left to do
   * @param retry to be called when the write has to be tried again
   */
  private void write(Runnable settled, Runnable retry) {
    Optional<RecordedAnswer> recorded =
        answer.map(
            known ->
                isLarge()
                    ? RecordedAnswer.inObject(known, objectKey())
                    : RecordedAnswer.inline(known));
    table.write(
        claim.order(),
        version,
        claim.record().withAnswer(recorded),
        result -> {
          if (result instanceof StoreResult.Success<Outcome> outcome) {
            onOutcome(outcome.value(), settled, retry);
          } else {
            retry.run();
          }
        });
  }

  /**
   * Goes on after a write whose outcome is known. A conflict with the claim's own started record
   * means that the version was not the expected one.
   *
   * @param outcome the outcome
   * @param settled to be called when nothing is left to do
   * @param retry to be called when the write has to be tried again
   */
  private void onOutcome(Outcome outcome, Runnable settled, Runnable retry) {
    Optional<Row> row = outcome.conflicts().stream().findFirst();
    String identity = claim.order().identity();
    boolean behind =
        row.filter(found -> ClaimRecord.parse(found.value()).is(identity, ClaimState.STARTED))
            .isPresent();
    if (!outcome.applied() && behind) {
      version = row.orElseThrow().version();
      retry.run();
    } else {
      settled.run();
    }
  }

  /**
   * Returns whether the body belongs into the object store.
   *
   * @return true when it is larger than a record may hold
   */
  private boolean isLarge() {
    return bytes() > inlineBytes;
  }

  /**
   * Returns the key of the body in the object store.
   *
   * @return the key
   */
  private String objectKey() {
    return OBJECT_PREFIX + DigestUtils.sha256Hex(claim.order().identity());
  }
}

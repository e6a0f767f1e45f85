package org.almondslip.routing;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.SuspectNotice;

/** Effects that are recorded for each caller. */
final class RecordingEffects implements RouterEffects {

  /** What each caller has received. */
  final Map<Long, Received> callers = new TreeMap<>();

  /** Pools for which more connections were requested. */
  final List<String> dialled = new ArrayList<>();

  /** Crash records to store. */
  final List<SuspectNotice> suspects = new ArrayList<>();

  /** Effects after the end of a request or out of order. */
  final List<String> faults = new ArrayList<>();

  /** What one caller has received. */
  static final class Received {
    /** Status, 0 before the head. */
    int status;

    /** Body so far. */
    ByteString body = ByteString.EMPTY;

    /** Final results. */
    final List<Outcome> ends = new ArrayList<>();
  }

  /**
   * Returns what a caller has received.
   *
   * @param caller the caller
   * @return its record
   */
  Received of(long caller) {
    return callers.computeIfAbsent(caller, id -> new Received());
  }

  @Override
  public void head(long caller, AnswerHead head) {
    check(caller, of(caller).status == 0 && of(caller).ends.isEmpty(), "head");
    of(caller).status = head.getStatus();
  }

  @Override
  public void data(long caller, ByteString data) {
    check(caller, of(caller).status != 0 && of(caller).ends.isEmpty(), "data");
    of(caller).body = of(caller).body.concat(data);
  }

  @Override
  public void end(long caller, Outcome outcome) {
    check(caller, of(caller).ends.isEmpty(), "end");
    of(caller).ends.add(outcome);
  }

  @Override
  public void dialMore(String pool) {
    dialled.add(pool);
  }

  @Override
  public void recordSuspect(SuspectNotice notice) {
    suspects.add(notice);
  }

  /**
   * Records a fault unless a condition holds.
   *
   * @param caller the caller
   * @param allowed the condition
   * @param effect the name of the effect
   */
  private void check(long caller, boolean allowed, String effect) {
    if (!allowed) {
      faults.add(effect + " of caller " + caller);
    }
  }
}

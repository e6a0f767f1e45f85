package org.almondslip.execution;

import java.util.HashMap;
import java.util.Map;
import org.almondslip.accounting.Accounts;
import org.almondslip.catalog.Flow;

/** Accounts that record the charge of each request. */
final class FakeAccounts implements Accounts {

  /** Charges of unsettled requests. */
  final Map<Long, Long> open = new HashMap<>();

  /** Costs of settled requests. */
  final Map<Long, Long> settled = new HashMap<>();

  @Override
  public void start(long token, Flow flow, long estimateMillis) {
    open.put(token, estimateMillis);
  }

  @Override
  public void progress(long token, long elapsedMillis) {
    open.computeIfPresent(token, (id, charge) -> Math.max(charge, elapsedMillis));
  }

  @Override
  public void settle(long token, long costMillis) {
    if (open.remove(token) != null) {
      settled.put(token, costMillis);
    }
  }

  @Override
  public long estimateMicros(Flow flow) {
    return 0;
  }
}

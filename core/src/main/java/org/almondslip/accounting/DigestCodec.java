package org.almondslip.accounting;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.ServiceDigest;
import org.almondslip.protocol.wire.ServiceReport;

/** Converts between the messages of the digest waves and maps by flow identity. */
final class DigestCodec {

  /** Not instantiable. */
  private DigestCodec() {}

  /**
   * Builds a report.
   *
   * @param sequence the sequence number
   * @param charges the charges of the subtree, in microseconds divided by share
   * @param backlogged the backlogged flows of the subtree
   * @param agents the number of agents in the subtree
   * @return the frame
   */
  static Frame report(
      long sequence, Map<Integer, Long> charges, Set<Integer> backlogged, int agents) {
    ServiceReport.Builder report =
        ServiceReport.newBuilder().setSequence(sequence).setAgents(agents);
    Set<Integer> ids = new TreeSet<>(charges.keySet());
    ids.addAll(backlogged);
    for (int id : ids) {
      report.addFlowId(id);
      report.addChargeUs(charges.getOrDefault(id, 0L));
      report.addBacklogged(backlogged.contains(id));
    }
    return Frame.newBuilder().setServiceReport(report).build();
  }

  /**
   * Reads the charges of a report. Charges that are not positive are skipped.
   *
   * @param report the report
   * @return the positive charges by flow identity
   */
  static Map<Integer, Long> charges(ServiceReport report) {
    Map<Integer, Long> charges = new HashMap<>();
    int count = Math.min(report.getFlowIdCount(), report.getChargeUsCount());
    for (int index = 0; index < count; index++) {
      if (report.getChargeUs(index) > 0) {
        charges.put(report.getFlowId(index), report.getChargeUs(index));
      }
    }
    return charges;
  }

  /**
   * Reads the backlogged flows of a report.
   *
   * @param report the report
   * @return the identities of the flows
   */
  static Set<Integer> backlogged(ServiceReport report) {
    Set<Integer> backlogged = new HashSet<>();
    int count = Math.min(report.getFlowIdCount(), report.getBackloggedCount());
    for (int index = 0; index < count; index++) {
      if (report.getBacklogged(index)) {
        backlogged.add(report.getFlowId(index));
      }
    }
    return backlogged;
  }

  /**
   * Builds a digest. Accounts are encoded relative to the smallest one.
   *
   * @param epoch the number of the digest
   * @param states the states of the active flows by identity
   * @param agents the number of agents in the fleet
   * @return the digest without an acknowledgement
   */
  static ServiceDigest digest(long epoch, Map<Integer, FlowState> states, int agents) {
    long base = states.values().stream().mapToLong(FlowState::accountMicros).min().orElse(0L);
    ServiceDigest.Builder digest =
        ServiceDigest.newBuilder().setEpoch(epoch).setBaseUs(base).setAgents(agents);
    new TreeMap<>(states)
        .forEach(
            (id, state) -> {
              digest.addFlowId(id);
              digest.addAccountUs(state.accountMicros() - base);
              digest.addBacklogged(state.backlogged());
            });
    return digest.build();
  }

  /**
   * Reads the states of a digest.
   *
   * @param digest the digest
   * @return the states by flow identity
   */
  static Map<Integer, FlowState> states(ServiceDigest digest) {
    Map<Integer, FlowState> states = new HashMap<>();
    int count = Math.min(digest.getAccountUsCount(), digest.getBackloggedCount());
    for (int index = 0; index < Math.min(count, digest.getFlowIdCount()); index++) {
      long account = digest.getBaseUs() + digest.getAccountUs(index);
      states.put(digest.getFlowId(index), new FlowState(account, digest.getBacklogged(index)));
    }
    return states;
  }

  /**
   * Builds the frame of a digest for one child.
   *
   * @param digest the digest
   * @param acknowledged the sequence number of the child's last report that the digest contains
   * @return the frame
   */
  static Frame digestFrame(ServiceDigest digest, long acknowledged) {
    return Frame.newBuilder()
        .setServiceDigest(digest.toBuilder().setAcknowledged(acknowledged))
        .build();
  }
}

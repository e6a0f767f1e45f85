package org.almondslip.accounting;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.ServiceReport;

/** Merges the service reports that one node of the digest tree receives from other agents. */
final class ChildReports {

  /** Time after the last report at which the state of a child expires, in milliseconds. */
  private final long staleMillis;

  /** State of each agent that has reported, by instance id. */
  private final Map<String, Child> children = new HashMap<>();

  /** Charges received since the last call of {@link #drain}, by flow identity. */
  private Map<Integer, Long> pending = new HashMap<>();

  /**
   * Creates a store without reports.
   *
   * @param staleMillis the time after the last report at which the state of a child expires, in
   *     milliseconds
   */
  ChildReports(long staleMillis) {
    this.staleMillis = staleMillis;
  }

  /**
   * Merges a report. The charges of a repeated report are not added again; a report of an earlier
   * incarnation or with a lower sequence number than the last one is ignored.
   *
   * @param sender the sender
   * @param report the report
   * @param now the current time, in milliseconds
   */
  void merge(PeerIdentity sender, ServiceReport report, long now) {
    long incarnation = sender.incarnation();
    Child child = children.get(sender.instanceId());
    if (child == null || Long.compareUnsigned(child.incarnation, incarnation) < 0) {
      child = new Child(incarnation);
      children.put(sender.instanceId(), child);
    }
    if (child.incarnation != incarnation || report.getSequence() < child.mergedSequence) {
      return;
    }
    if (report.getSequence() > child.mergedSequence) {
      child.mergedSequence = report.getSequence();
      DigestCodec.charges(report).forEach((id, micros) -> pending.merge(id, micros, Long::sum));
    }
    child.backloggedFlows = DigestCodec.backlogged(report);
    child.agentCount = report.getAgents();
    child.reportedAtMillis = now;
  }

  /**
   * Adds charges that have to be passed on again although they were drained before.
   *
   * @param charges the charges by flow identity
   */
  void addPending(Map<Integer, Long> charges) {
    charges.forEach((id, micros) -> pending.merge(id, micros, Long::sum));
  }

  /**
   * Returns the charges received since the last call.
   *
   * @return the charges and the reports that contain them
   */
  Batch drain() {
    Map<String, Long> sequences = new HashMap<>();
    children.forEach((id, child) -> sequences.put(id, child.mergedSequence));
    Batch batch = new Batch(pending, sequences);
    pending = new HashMap<>();
    return batch;
  }

  /**
   * Marks reports as contained in the digest.
   *
   * @param sequences the sequence number of the last contained report, by child
   */
  void onCounted(Map<String, Long> sequences) {
    sequences.forEach(
        (id, sequence) -> {
          Child child = children.get(id);
          if (child != null && sequence <= child.mergedSequence) {
            child.countedSequence = Math.max(child.countedSequence, sequence);
          }
        });
  }

  /**
   * Returns the last report of a child that the digest contains.
   *
   * @param childId the child
   * @return the sequence number, 0 when there is none
   */
  long counted(String childId) {
    Child child = children.get(childId);
    return child == null ? 0 : child.countedSequence;
  }

  /**
   * Returns whether all given children have reported since a time.
   *
   * @param expected the instance ids of the children
   * @param since the earliest time of a report, in milliseconds
   * @return true when each child has reported at or after that time
   */
  boolean haveReported(Iterable<String> expected, long since) {
    for (String id : expected) {
      Child child = children.get(id);
      if (child == null || child.reportedAtMillis < since) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns the agents whose state has not expired.
   *
   * @param now the current time, in milliseconds
   * @return the instance ids
   */
  Set<String> recent(long now) {
    Set<String> recent = new HashSet<>();
    children.forEach(
        (id, child) -> {
          if (now - child.reportedAtMillis <= staleMillis) {
            recent.add(id);
          }
        });
    return recent;
  }

  /**
   * Adds the backlogged flows below this node to a set.
   *
   * @param flowIds the set to add to
   * @param now the current time, in milliseconds
   */
  void addBacklogged(Set<Integer> flowIds, long now) {
    recent(now).forEach(id -> flowIds.addAll(children.get(id).backloggedFlows));
  }

  /**
   * Returns the number of agents below this node whose state has not expired.
   *
   * @param now the current time, in milliseconds
   * @return the number
   */
  int agents(long now) {
    return recent(now).stream().mapToInt(id -> children.get(id).agentCount).sum();
  }

  /**
   * Charges of the subtree and the reports they were received in.
   *
   * @param charges the charges by flow identity
   * @param sequences the sequence number of the last merged report, by child
   */
  record Batch(Map<Integer, Long> charges, Map<String, Long> sequences) {}

  /** State of one reporting agent. */
  private static final class Child {

    /** Incarnation that sends the reports. */
    private final long incarnation;

    /** Sequence number of the last report whose charges were merged. */
    private long mergedSequence;

    /** Sequence number of the last report that the digest contains. */
    private long countedSequence;

    /** Time of the last report, in milliseconds of the monotonic clock. */
    private long reportedAtMillis;

    /** Number of agents in the subtree of the child. */
    private int agentCount;

    /** Backlogged flows in the subtree of the child. */
    private Set<Integer> backloggedFlows = Set.of();

    /**
     * Creates a child without reports.
     *
     * @param incarnation the incarnation that sends the reports
     */
    private Child(long incarnation) {
      this.incarnation = incarnation;
    }
  }
}

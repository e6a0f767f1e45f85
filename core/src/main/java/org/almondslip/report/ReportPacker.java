package org.almondslip.report;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.Message;
import java.util.ArrayList;
import java.util.List;
import org.almondslip.protocol.wire.LoadReport;
import org.almondslip.protocol.wire.PromptCrash;
import org.almondslip.protocol.wire.SegmentReport;
import org.almondslip.protocol.wire.SentPrompt;
import org.almondslip.protocol.wire.ServiceTotal;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.protocol.wire.TargetReport;

/** Splits the entries of a report into datagrams of limited size. */
final class ReportPacker {

  /**
   * Maximum size of a datagram, in bytes. It fits into one network frame together with the IP and
   * UDP headers; a larger datagram would be fragmented and lost with any one of its fragments.
   */
  static final int MAX_BYTES = 1_400;

  private final String routerName;

  private final long incarnation;

  private final List<LoadReport> completedReports = new ArrayList<>();

  /** Size of a report without entries, in bytes. */
  private final int emptyReportBytes;

  private LoadReport.Builder current;

  /** Serialized size of {@link #current}, in bytes. */
  private int currentBytes;

  /**
   * Creates a packer without entries.
   *
   * @param routerName the name of the router
   * @param incarnation the incarnation of the router, different after each restart
   */
  ReportPacker(String routerName, long incarnation) {
    this.routerName = routerName;
    this.incarnation = incarnation;
    this.current = emptyReport();
    this.emptyReportBytes = current.build().getSerializedSize();
    this.currentBytes = emptyReportBytes;
  }

  /**
   * Adds the service totals of an organisation.
   *
   * @param entry the entry
   */
  void add(ServiceTotal entry) {
    reportFor(entry).addTotals(entry);
  }

  /**
   * Adds the load of a target.
   *
   * @param entry the entry
   */
  void add(TargetReport entry) {
    reportFor(entry).addTargets(entry);
  }

  /**
   * Adds a crash.
   *
   * @param entry the entry
   */
  void add(SuspectNotice entry) {
    reportFor(entry).addSuspects(entry);
  }

  /**
   * Adds a prompt that was lost with its target.
   *
   * @param entry the entry
   */
  void add(PromptCrash entry) {
    reportFor(entry).addCrashes(entry);
  }

  /**
   * Adds the status of a suspected segment.
   *
   * @param entry the entry
   */
  void add(SegmentReport entry) {
    reportFor(entry).addSegments(entry);
  }

  /**
   * Adds a prompt that was sent to a target.
   *
   * @param entry the entry
   */
  void add(SentPrompt entry) {
    reportFor(entry).addPrompts(entry);
  }

  /**
   * Returns the reports that contain all added entries.
   *
   * @return the reports, empty if no entry was added
   */
  List<LoadReport> reports() {
    List<LoadReport> all = new ArrayList<>(completedReports);
    if (currentBytes > emptyReportBytes) {
      all.add(current.build());
    }
    return all;
  }

  /**
   * Reserves space for an entry.
   *
   * @param entry the entry
   * @return the current report, or a new one if the entry does not fit into it
   */
  private LoadReport.Builder reportFor(Message entry) {
    int size = entry.getSerializedSize();
    // A repeated message field consists of a one-byte tag, the length and the message.
    int added = 1 + CodedOutputStream.computeUInt32SizeNoTag(size) + size;
    if (currentBytes + added > MAX_BYTES && currentBytes > emptyReportBytes) {
      completedReports.add(current.build());
      current = emptyReport();
      currentBytes = emptyReportBytes;
    }
    currentBytes += added;
    return current;
  }

  private LoadReport.Builder emptyReport() {
    return LoadReport.newBuilder().setRouter(routerName).setIncarnation(incarnation);
  }
}

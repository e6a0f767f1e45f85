package org.almondslip.report;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.Message;
import java.util.ArrayList;
import java.util.List;
import org.almondslip.protocol.wire.LoadReport;
import org.almondslip.protocol.wire.SentPrompt;
import org.almondslip.protocol.wire.ServiceTotal;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.protocol.wire.TargetReport;

/** Spreads the entries of a report over as many datagrams as they need. */
final class ReportPacker {

  /**
   * Largest size of a datagram in bytes: a frame of the network without the headers of IP and UDP.
   * Larger ones travel in fragments and are lost when one of these is.
   */
  static final int MAX_BYTES = 1_400;

  /** Name of the router. */
  private final String name;

  /** Start of the router. */
  private final long incarnation;

  /** Complete reports. */
  private final List<LoadReport> reports = new ArrayList<>();

  /** Size of a report without entries, in bytes. */
  private final int headBytes;

  /** Report that takes further entries. */
  private LoadReport.Builder current;

  /** Size of the report that takes further entries, in bytes. */
  private int bytes;

  /**
   * Creates a packer without reports.
   *
   * @param name the name of the router
   * @param incarnation the start of the router
   */
  ReportPacker(String name, long incarnation) {
    this.name = name;
    this.incarnation = incarnation;
    this.current = empty();
    this.headBytes = current.build().getSerializedSize();
    this.bytes = headBytes;
  }

  /**
   * Adds the totals of an organisation.
   *
   * @param entry the entry
   */
  void add(ServiceTotal entry) {
    room(entry).addTotals(entry);
  }

  /**
   * Adds the work at a target.
   *
   * @param entry the entry
   */
  void add(TargetReport entry) {
    room(entry).addTargets(entry);
  }

  /**
   * Adds a crash.
   *
   * @param entry the entry
   */
  void add(SuspectNotice entry) {
    room(entry).addSuspects(entry);
  }

  /**
   * Adds a prompt.
   *
   * @param entry the entry
   */
  void add(SentPrompt entry) {
    room(entry).addPrompts(entry);
  }

  /**
   * Returns the reports.
   *
   * @return the reports, empty when nothing was added
   */
  List<LoadReport> reports() {
    List<LoadReport> all = new ArrayList<>(reports);
    if (bytes > headBytes) {
      all.add(current.build());
    }
    return all;
  }

  /**
   * Returns the report that takes an entry.
   *
   * @param entry the entry
   * @return the current report, or a new one when the entry does not fit
   */
  private LoadReport.Builder room(Message entry) {
    int size = entry.getSerializedSize();
    // A field is a tag of one byte, the length and the entry.
    int added = 1 + CodedOutputStream.computeUInt32SizeNoTag(size) + size;
    if (bytes + added > MAX_BYTES && bytes > headBytes) {
      reports.add(current.build());
      current = empty();
      bytes = headBytes;
    }
    bytes += added;
    return current;
  }

  /**
   * Starts a report.
   *
   * @return the report without entries
   */
  private LoadReport.Builder empty() {
    return LoadReport.newBuilder().setRouter(name).setIncarnation(incarnation);
  }
}

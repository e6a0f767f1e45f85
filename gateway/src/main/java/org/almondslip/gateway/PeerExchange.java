package org.almondslip.gateway;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.almondslip.directory.Address;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;
import org.almondslip.protocol.wire.LoadReport;
import org.almondslip.quarantine.CrashQuarantine;
import org.almondslip.report.ReportReader;
import org.almondslip.report.ReportWriter;

/**
 * Exchanges reports with the other routers, so that each one places requests by the load of all.
 *
 * <p>Reports go by datagram: a lost one is replaced by the next, and one that arrives late would be
 * of no use.
 */
final class PeerExchange implements PeerReporter, PeerAddressListener, AutoCloseable {

  /** Logger of this class. */
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Interval of reports in milliseconds. It is a few times the delay between regions: shorter ones
   * would cost traffic and bring little fresher figures.
   */
  static final long INTERVAL_MILLIS = 60;

  /** Event loop. */
  private final Vertx vertx;

  /** Name of this router. */
  private final String name;

  /** Writes reports. */
  private final ReportWriter writer;

  /** Takes the reports of the other routers. */
  private final ReportReader reader;

  /** Requests that crash targets. */
  private final CrashQuarantine window;

  /** Addresses of the other routers by their names. */
  private final Map<String, InetSocketAddress> peers = new HashMap<>();

  /** Counts of reports. */
  private final ReportCounts counts = new ReportCounts();

  /** Socket, once it is bound. */
  private Optional<PeerSocket> socket = Optional.empty();

  /**
   * Creates an exchange that is not bound yet.
   *
   * @param vertx the event loop
   * @param name the name of this router
   * @param writer writes reports
   * @param reader takes the reports of the other routers
   * @param window the requests that crash targets
   */
  PeerExchange(
      Vertx vertx, String name, ReportWriter writer, ReportReader reader, CrashQuarantine window) {
    this.vertx = vertx;
    this.name = name;
    this.writer = writer;
    this.reader = reader;
    this.window = window;
  }

  /**
   * Binds the socket and starts to report.
   *
   * @param address the address as {@code ip:port}
   */
  void start(String address) {
    socket = Optional.of(new PeerSocket(vertx, Address.of(address), this::onReport));
    vertx.setPeriodic(INTERVAL_MILLIS, id -> report());
  }

  @Override
  public void onPeerAddress(String peer, Optional<String> address) {
    Optional<Address> parsed = address.flatMap(Address::parse);
    if (peer.equals(name) || parsed.isEmpty()) {
      peers.remove(peer);
      return;
    }
    peers.put(peer, new InetSocketAddress(parsed.get().host(), parsed.get().port()));
    logger.atInfo().log("router %s is at %s", peer, address.get());
  }

  @Override
  public void onSent(TargetLoad target, Prompt prompt) {
    writer.onSent(target, prompt);
  }

  @Override
  public void onCrash(long fingerprint, TargetLoad target) {
    window.onCrash(fingerprint, Long.toString(target.incarnationKey()).hashCode());
    writer.onCrash(fingerprint, target);
  }

  /**
   * Returns the counts of reports.
   *
   * @return the counts
   */
  ReportCounts counts() {
    return counts;
  }

  @Override
  public void close() {
    socket.ifPresent(PeerSocket::close);
  }

  /** Reports to all other routers. */
  private void report() {
    for (LoadReport report : writer.next()) {
      byte[] data = report.toByteArray();
      counts.onSent(data.length, peers.size());
      socket.ifPresent(open -> open.send(data, peers.values()));
    }
  }

  /**
   * Takes a datagram.
   *
   * @param data the datagram
   * @param sender the IP address of the sender
   */
  private void onReport(byte[] data, String sender) {
    try {
      reader.read(LoadReport.parseFrom(data));
      counts.onReceived();
    } catch (InvalidProtocolBufferException e) {
      counts.onUnreadable();
      logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
          "a report of %d bytes from %s cannot be read", data.length, sender);
    }
  }
}

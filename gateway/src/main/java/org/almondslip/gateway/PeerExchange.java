package org.almondslip.gateway;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.almondslip.budget.FleetAllowance;
import org.almondslip.directory.Address;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;
import org.almondslip.protocol.wire.LoadReport;
import org.almondslip.quarantine.CrashQuarantine;
import org.almondslip.report.ReportReader;
import org.almondslip.report.ReportWriter;

/**
 * Exchanges load reports with the other routers, so that each places requests by the load of all.
 *
 * <p>Reports are sent by UDP: the next report replaces a lost one, and a retransmitted report would
 * be outdated.
 */
final class PeerExchange implements PeerReporter, PeerAddressListener, AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Interval of reports in milliseconds. It is a few times the delay between regions: a shorter
   * interval would add traffic but hardly make the received loads more current.
   */
  static final long REPORT_INTERVAL_MILLIS = 60;

  private final Vertx vertx;

  /** Name of the instance of this router. */
  private final String name;

  private final ReportWriter writer;

  private final ReportReader reader;

  private final CrashQuarantine crashes;

  private final FleetAllowance retryAllowance;

  /** Addresses of the other routers by the names of their instances. */
  private final Map<String, InetSocketAddress> peers = new HashMap<>();

  private final ReportCounts counts = new ReportCounts();

  /** Whether the complete list of routers has been received. */
  private boolean listed;

  /** Socket, empty before {@link #start}. */
  private Optional<PeerSocket> socket = Optional.empty();

  /**
   * Creates an exchange that does not listen yet.
   *
   * @param vertx the event loop
   * @param name the name of the instance of this router
   * @param writer writes the reports of this router
   * @param reader applies the reports of other routers
   * @param crashes the quarantine of requests that crash targets
   * @param retryAllowance the retries that all routers share
   */
  PeerExchange(
      Vertx vertx,
      String name,
      ReportWriter writer,
      ReportReader reader,
      CrashQuarantine crashes,
      FleetAllowance retryAllowance) {
    this.vertx = vertx;
    this.name = name;
    this.writer = writer;
    this.reader = reader;
    this.crashes = crashes;
    this.retryAllowance = retryAllowance;
  }

  /**
   * Binds the socket and starts to send reports. Must be called on the event loop.
   *
   * @param address the local address as {@code ip:port}
   */
  void start(String address) {
    socket = Optional.of(new PeerSocket(vertx, Address.of(address), this::onDatagram));
    vertx.setPeriodic(REPORT_INTERVAL_MILLIS, id -> sendReports());
  }

  @Override
  public void onPeerAddress(String peer, Optional<String> address) {
    Optional<Address> parsed = address.flatMap(Address::parse).filter(to -> to.port() > 0);
    if (peer.equals(name) || parsed.isEmpty()) {
      peers.remove(peer);
    } else {
      peers.put(peer, new InetSocketAddress(parsed.get().host(), parsed.get().port()));
    }
    if (listed) {
      onPeersListed();
    }
  }

  @Override
  public void onPeersListed() {
    listed = true;
    retryAllowance.setRouters(peers.size() + 1);
    logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
        "sending reports to %d routers, retry allowance %.2f",
        peers.size(), retryAllowance.perRouter());
  }

  @Override
  public void onSent(TargetLoad target, Prompt prompt) {
    writer.onSent(target, prompt);
  }

  @Override
  public void onCrash(long fingerprint, TargetLoad target) {
    crashes.onCrash(fingerprint, Long.toString(target.incarnationKey()).hashCode());
    writer.onCrash(fingerprint, target);
  }

  ReportCounts counts() {
    return counts;
  }

  @Override
  public void close() {
    socket.ifPresent(PeerSocket::close);
  }

  /** Sends the next reports to all other routers. */
  private void sendReports() {
    for (LoadReport report : writer.next()) {
      byte[] data = report.toByteArray();
      counts.onSent(data.length, peers.size());
      socket.ifPresent(open -> open.send(data, peers.values()));
    }
  }

  private void onDatagram(byte[] data, String sender) {
    try {
      reader.read(LoadReport.parseFrom(data));
      counts.onReceived();
    } catch (InvalidProtocolBufferException e) {
      counts.onUnreadable();
      logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
          "failed to parse a report of %d bytes from %s", data.length, sender);
    }
  }
}

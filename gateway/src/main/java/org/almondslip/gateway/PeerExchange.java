package org.almondslip.gateway;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.almondslip.budget.FleetAllowance;
import org.almondslip.directory.Address;
import org.almondslip.pace.FleetPace;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;
import org.almondslip.protocol.wire.LoadReport;
import org.almondslip.quarantine.CrashQuarantine;
import org.almondslip.quarantine.CrashedPrompt;
import org.almondslip.quarantine.SegmentQuarantine;
import org.almondslip.report.CacheExchange;
import org.almondslip.report.ReportReader;
import org.almondslip.report.ReportWriter;
import org.almondslip.time.Clock;

/**
 * Exchanges load reports with the other routers, so that each places requests by the load of all.
 *
 * <p>Reports are sent by UDP: the next report replaces a lost one, and a retransmitted report would
 * be outdated.
 */
final class PeerExchange implements PeerReporter, PeerAddressListener, AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Interval of reports to routers in the same region, in milliseconds. A shorter interval would
   * add traffic but hardly make the received loads more current.
   */
  static final long NEARBY_INTERVAL_MILLIS = 60;

  /**
   * Maximum interval of reports to routers in other regions, in milliseconds. Traffic between
   * regions is billed, and it grows with the square of the number of routers.
   */
  static final long MAX_DISTANT_INTERVAL_MILLIS = 180;

  /**
   * Number of routers for each {@link #NEARBY_INTERVAL_MILLIS} of the interval of reports to other
   * regions. Small fleets send little, and their routers need current loads.
   */
  private static final int ROUTERS_PER_INTERVAL = 10;

  /**
   * Time after which an unchanged load is reported again, in milliseconds. Receivers ignore a load
   * after a second, so one refresh may be lost.
   */
  private static final long REFRESH_MILLIS = 360;

  private final Vertx vertx;

  /** Name of the instance of this router. */
  private final String name;

  /** Region of this router. */
  private final String region;

  /** Routers in the region of this router. */
  private final PeerGroup nearby;

  /** Routers in other regions. */
  private final PeerGroup distant;

  private final ReportReader reader;

  private final CacheExchange cacheExchange;

  private final CrashQuarantine crashes;

  private final SegmentQuarantine segmentQuarantine;

  private final FleetAllowance retryAllowance;

  private final ReportCounts counts = new ReportCounts();

  private long ticksSinceDistantReport;

  private final FleetPace fleetPace;

  private final Clock clock;

  /** Names of the routers that are in the list, possibly including this one. */
  private final Set<String> listedRouters = new HashSet<>();

  /** Whether the complete list of routers has been received. */
  private boolean listed;

  /** Socket, empty before {@link #start}. */
  private Optional<PeerSocket> socket = Optional.empty();

  /**
   * Creates an exchange that does not listen yet.
   *
   * @param vertx the event loop
   * @param name the name of the instance of this router
   * @param region the region of this router
   * @param writers creates the writer of the reports to a group of routers
   * @param reader applies the reports of other routers
   * @param cacheExchange transfers the knowledge of the engines' caches
   * @param crashes the quarantine of requests that crash targets
   * @param segmentQuarantine the quarantine of prompt segments that crash targets
   * @param retryAllowance the retries that all routers share
   * @param fleetPace the pace of targets, which depends on the list of routers
   * @param clock the source of time
   */
  PeerExchange(
      Vertx vertx,
      String name,
      String region,
      IntFunction<ReportWriter> writers,
      ReportReader reader,
      CacheExchange cacheExchange,
      CrashQuarantine crashes,
      SegmentQuarantine segmentQuarantine,
      FleetAllowance retryAllowance,
      FleetPace fleetPace,
      Clock clock) {
    this.vertx = vertx;
    this.name = name;
    this.region = region;
    this.nearby = newGroup(writers, NEARBY_INTERVAL_MILLIS);
    this.distant = newGroup(writers, MAX_DISTANT_INTERVAL_MILLIS);
    this.reader = reader;
    this.cacheExchange = cacheExchange;
    this.crashes = crashes;
    this.segmentQuarantine = segmentQuarantine;
    this.retryAllowance = retryAllowance;
    this.fleetPace = fleetPace;
    this.clock = clock;
  }

  private static PeerGroup newGroup(IntFunction<ReportWriter> writers, long intervalMillis) {
    int refreshReports = (int) (REFRESH_MILLIS / intervalMillis);
    return new PeerGroup(writers.apply(refreshReports));
  }

  /**
   * Binds the socket and starts to send reports. Must be called on the event loop.
   *
   * @param address the local address as {@code ip:port}
   */
  void start(String address) {
    socket = Optional.of(new PeerSocket(vertx, Address.of(address), this::onDatagram));
    vertx.setPeriodic(NEARBY_INTERVAL_MILLIS, id -> tick());
  }

  /** Sends the reports and messages that are due. */
  private void tick() {
    sendReports(nearby);
    ticksSinceDistantReport++;
    if (ticksSinceDistantReport >= distantIntervalTicks(peerCount() + 1)) {
      ticksSinceDistantReport = 0;
      sendReports(distant);
    }
    sendCacheMessages();
  }

  /** Returns the interval of reports to other regions, in nearby intervals. */
  static long distantIntervalTicks(int routers) {
    long max = MAX_DISTANT_INTERVAL_MILLIS / NEARBY_INTERVAL_MILLIS;
    return Math.max(1, Math.min(max, routers / ROUTERS_PER_INTERVAL));
  }

  private int peerCount() {
    return nearby.addresses().size() + distant.addresses().size();
  }

  @Override
  public void onPeerAddress(String peer, Optional<String> address, String peerRegion) {
    final Optional<Address> parsed = address.flatMap(Address::parse).filter(to -> to.port() > 0);
    nearby.remove(peer);
    distant.remove(peer);
    listedRouters.remove(peer);
    parsed.ifPresent(to -> listedRouters.add(peer));
    if (!peer.equals(name) && parsed.isPresent()) {
      PeerGroup group = peerRegion.equals(region) ? nearby : distant;
      group.put(peer, new InetSocketAddress(parsed.get().host(), parsed.get().port()));
    }
    if (listed) {
      onPeersListed();
    }
  }

  @Override
  public void onPeersListed() {
    listed = true;
    retryAllowance.setRouters(peerCount() + 1);
    fleetPace.onRouters(listedRouters, clock.millis());
    logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
        "sending reports to %d routers, retry allowance %.2f",
        peerCount(), retryAllowance.perRouter());
  }

  @Override
  public void onSent(TargetLoad target, Prompt prompt) {
    nearby.writer().onSent(target, prompt);
    distant.writer().onSent(target, prompt);
  }

  @Override
  public void onCrash(long fingerprint, TargetLoad target) {
    crashes.onCrash(fingerprint, Long.toString(target.incarnationKey()).hashCode());
    nearby.writer().onCrash(fingerprint, target);
    distant.writer().onCrash(fingerprint, target);
  }

  @Override
  public void onCrash(CrashedPrompt crash) {
    segmentQuarantine.onCrash(crash);
    nearby.writer().onCrash(crash);
    distant.writer().onCrash(crash);
  }

  ReportCounts counts() {
    return counts;
  }

  @Override
  public void close() {
    socket.ifPresent(PeerSocket::close);
  }

  /** Sends the next reports to a group of routers. */
  private void sendReports(PeerGroup group) {
    for (LoadReport report : group.writer().next()) {
      byte[] data = report.toByteArray();
      counts.onSent(data.length, group.addresses().size());
      socket.ifPresent(open -> open.send(data, group.addresses()));
    }
  }

  /** Sends the messages of the cache exchange, each to a single router. */
  private void sendCacheMessages() {
    if (!listed) {
      return;
    }
    List<String> routers = new ArrayList<>(nearby.names());
    routers.addAll(distant.names());
    for (CacheExchange.Message message : cacheExchange.next(routers)) {
      byte[] data = message.report().toByteArray();
      Optional<InetSocketAddress> address =
          nearby.address(message.router()).or(() -> distant.address(message.router()));
      counts.onSent(data.length, 1);
      socket.ifPresent(open -> address.ifPresent(to -> open.send(data, List.of(to))));
    }
  }

  private void onDatagram(byte[] data, String sender) {
    try {
      LoadReport report = LoadReport.parseFrom(data);
      fleetPace.onHeard(report.getRouter(), clock.millis());
      reader.read(report);
      cacheExchange.read(report);
      counts.onReceived();
    } catch (InvalidProtocolBufferException e) {
      counts.onUnreadable();
      logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
          "failed to parse a report of %d bytes from %s", data.length, sender);
    }
  }
}

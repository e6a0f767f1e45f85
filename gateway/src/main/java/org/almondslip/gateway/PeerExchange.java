package org.almondslip.gateway;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.almondslip.directory.Address;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.dispatch.WaitingRange;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;
import org.almondslip.protocol.wire.Charge;
import org.almondslip.protocol.wire.LoadReport;
import org.almondslip.protocol.wire.SentPrompt;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.protocol.wire.TargetReport;
import org.almondslip.protocol.wire.Waiting;
import org.almondslip.quarantine.CrashWindow;
import org.almondslip.time.Clock;

/**
 * Exchanges reports with the other routers, so that each one places requests by the load of all.
 *
 * <p>Reports go by datagram: a lost one is replaced by the next, and one that arrives late would be
 * of no use.
 */
final class PeerExchange implements PeerReports, PeerListener, AutoCloseable {

  /** Logger of this class. */
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Interval of reports in milliseconds. It is a few times the delay between regions: shorter ones
   * would cost traffic and bring little fresher figures.
   */
  static final long INTERVAL_MILLIS = 60;

  /** Reports that name a crash, since each one may be lost. */
  private static final int CRASH_REPORTS = 3;

  /** Largest number of prompts in a report, which keeps it within one datagram. */
  private static final int MAX_PROMPTS = 40;

  /** Event loop. */
  private final Vertx vertx;

  /** Name of this router. */
  private final String name;

  /** Targets. */
  private final Dispatcher dispatcher;

  /** Source of time. */
  private final Clock clock;

  /** Requests that crash targets. */
  private final CrashWindow window;

  /** Addresses of the other routers by their names. */
  private final Map<String, Address> peers = new HashMap<>();

  /** Prompts sent since the last report. */
  private final List<SentPrompt> prompts = new ArrayList<>();

  /** Service given to organisations since the last report. */
  private final Map<Recipient, Long> charges = new HashMap<>();

  /** Crashes to report, with the number of reports that still name them. */
  private final Map<SuspectNotice, Integer> crashes = new HashMap<>();

  /** Socket, once it is bound. */
  private Optional<DatagramSocket> socket = Optional.empty();

  /** Counts of reports. */
  private final ReportCounts counts = new ReportCounts();

  /** Whether the last report named a target. */
  private boolean reportedLoad;

  /**
   * Receiver of service.
   *
   * @param service the name of the service
   * @param organisation the name of the organisation
   */
  private record Recipient(String service, String organisation) {}

  /**
   * Creates an exchange that is not bound yet.
   *
   * @param vertx the event loop
   * @param name the name of this router
   * @param dispatcher the targets
   * @param clock the source of time
   * @param window the requests that crash targets
   */
  PeerExchange(Vertx vertx, String name, Dispatcher dispatcher, Clock clock, CrashWindow window) {
    this.vertx = vertx;
    this.name = name;
    this.dispatcher = dispatcher;
    this.clock = clock;
    this.window = window;
    dispatcher.onCharge(
        (service, organisation, tokens) ->
            charges.merge(new Recipient(service, organisation), tokens, Long::sum));
  }

  /**
   * Binds the socket and starts to report.
   *
   * @param address the address as {@code ip:port}
   */
  void start(String address) {
    Address local = Address.of(address);
    vertx
        .createDatagramSocket(new DatagramSocketOptions())
        .listen(local.port(), local.host())
        .onFailure(failure -> logger.atSevere().withCause(failure).log("no port for reports"))
        .onSuccess(
            bound -> {
              socket = Optional.of(bound);
              bound.handler(packet -> onReport(packet.data(), packet.sender().host()));
              vertx.setPeriodic(INTERVAL_MILLIS, id -> report(bound));
            });
  }

  @Override
  public void onPeer(String peer, Optional<String> address) {
    Optional<Address> parsed = address.flatMap(Address::parse);
    if (peer.equals(name) || parsed.isEmpty()) {
      peers.remove(peer);
      return;
    }
    peers.put(peer, parsed.get());
    logger.atInfo().log("router %s is at %s", peer, address.get());
  }

  @Override
  public void onSent(TargetLoad target, Prompt prompt) {
    if (prompt.parts().isEmpty() || prompts.size() >= MAX_PROMPTS) {
      return;
    }
    SentPrompt.Builder sent = SentPrompt.newBuilder().setTarget(target.key());
    for (Prompt.Part part : prompt.parts()) {
      sent.addParts(part.id()).addTokens(part.tokens());
    }
    prompts.add(sent.build());
  }

  @Override
  public void onCrash(long fingerprint, TargetLoad target) {
    window.onCrash(fingerprint, Long.toString(target.key()).hashCode());
    crashes.put(
        SuspectNotice.newBuilder()
            .setFingerprint(fingerprint)
            .setCrashId(Long.toString(target.key()))
            .build(),
        CRASH_REPORTS);
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
    socket.ifPresent(DatagramSocket::close);
  }

  /**
   * Sends a report to all other routers.
   *
   * @param bound the socket
   */
  private void report(DatagramSocket bound) {
    LoadReport.Builder report = LoadReport.newBuilder().setRouter(name).addAllPrompts(prompts);
    prompts.clear();
    charges.forEach(
        (recipient, tokens) ->
            report.addCharges(
                Charge.newBuilder()
                    .setService(recipient.service())
                    .setOrganisation(recipient.organisation())
                    .setTokens(tokens)));
    charges.clear();
    report.addAllSuspects(crashes.keySet());
    crashes.replaceAll((notice, left) -> left - 1);
    crashes.values().removeIf(left -> left <= 0);
    dispatcher
        .waitingRanges()
        .forEach(
            (service, range) ->
                report.addWaiting(
                    Waiting.newBuilder()
                        .setService(service)
                        .setLeast((long) range.least())
                        .setMost((long) range.most())));
    for (TargetLoad target : dispatcher.targets()) {
      if (target.ownRequests() > 0) {
        report.addTargets(
            TargetReport.newBuilder()
                .setTarget(target.key())
                .setUnreadTokens((int) target.ownUnreadTokens())
                .setRequests(target.ownRequests()));
      }
    }
    boolean load = report.getTargetsCount() > 0;
    if (!load && !reportedLoad && report.getWaitingCount() + report.getSuspectsCount() == 0) {
      return;
    }
    reportedLoad = load;
    Buffer data = Buffer.buffer(report.build().toByteArray());
    counts.onSent(data.length(), peers.size());
    peers.values().forEach(peer -> bound.send(data, peer.port(), peer.host()));
  }

  /**
   * Takes a report.
   *
   * @param data the datagram
   * @param sender the IP address of the sender
   */
  private void onReport(Buffer data, String sender) {
    LoadReport report;
    try {
      report = LoadReport.parseFrom(data.getBytes());
    } catch (InvalidProtocolBufferException e) {
      counts.onUnreadable();
      logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
          "a report of %d bytes from %s cannot be read", data.length(), sender);
      return;
    }
    counts.onReceived();
    Map<Long, TargetLoad> targets = new HashMap<>();
    dispatcher.targets().forEach(target -> targets.put(target.key(), target));
    long now = clock.millis();
    Map<Long, TargetReport> loads = new HashMap<>();
    report.getTargetsList().forEach(load -> loads.put(load.getTarget(), load));
    targets.forEach(
        (key, target) -> {
          TargetReport load = loads.getOrDefault(key, TargetReport.getDefaultInstance());
          target.onReport(report.getRouter(), load.getUnreadTokens(), load.getRequests(), now);
        });
    for (SuspectNotice notice : report.getSuspectsList()) {
      window.onCrash(notice.getFingerprint(), notice.getCrashId().hashCode());
    }
    for (Charge charge : report.getChargesList()) {
      dispatcher.chargeRemote(charge.getService(), charge.getOrganisation(), charge.getTokens());
    }
    for (Waiting waiting : report.getWaitingList()) {
      dispatcher.onPeerWaiting(
          report.getRouter(),
          waiting.getService(),
          new WaitingRange(waiting.getLeast(), waiting.getMost()));
    }
    for (SentPrompt sent : report.getPromptsList()) {
      TargetLoad target = targets.get(sent.getTarget());
      if (target != null && sent.getPartsCount() == sent.getTokensCount()) {
        target.onPeerSent(prompt(sent));
      }
    }
  }

  /**
   * Decodes a prompt.
   *
   * @param sent the prompt of a report
   * @return the prompt
   */
  private static Prompt prompt(SentPrompt sent) {
    List<Prompt.Part> parts = new ArrayList<>();
    int total = 0;
    for (int i = 0; i < sent.getPartsCount(); i++) {
      parts.add(new Prompt.Part(sent.getParts(i), sent.getTokens(i)));
      total += sent.getTokens(i);
    }
    return new Prompt(parts, total, 0);
  }
}

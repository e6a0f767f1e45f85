package org.almondslip.report;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;
import org.almondslip.protocol.wire.LoadReport;
import org.almondslip.protocol.wire.SentPrompt;
import org.almondslip.time.Clock;

/**
 * Transfers the knowledge of what engines cache to routers that have just started.
 *
 * <p>Without it, a restarted router places requests at engines that have to prefill shared segments
 * which other engines cache. It asks one router after the other until one answers with the segments
 * of all targets. Lost datagrams only leave gaps in this knowledge. A router that is still asking
 * does not answer, so a fleet that starts at once stays quiet after a few requests.
 */
public final class CacheExchange {

  /** Time without an answer after which the next router is asked, in milliseconds. */
  static final long RETRY_MILLIS = 200;

  /** Number of requests after which a router gives up. */
  static final int MAX_REQUESTS = 10;

  /** Maximum number of messages for each call of {@link #next}, which limits bursts. */
  static final int MAX_MESSAGES = 8;

  /** Maximum number of segments of one target in a snapshot; older ones are evicted soon. */
  static final int MAX_SEGMENTS = 400;

  /** Number of segments in one entry, two of which fit into a datagram. */
  private static final int SEGMENTS_PER_ENTRY = 50;

  private final Clock clock;

  private final String routerName;

  private final long incarnation;

  private final Dispatcher dispatcher;

  /** Parts of snapshots that are not sent yet. */
  private final Deque<Message> outgoing = new ArrayDeque<>();

  private int requests;

  private long nextRequestAt;

  private boolean answered;

  /**
   * Report for a single router.
   *
   * @param router the name of the receiver
   * @param report the report
   */
  public record Message(String router, LoadReport report) {}

  /**
   * Creates an exchange of a router that has just started.
   *
   * @param clock the source of time
   * @param routerName the name of the router
   * @param incarnation the incarnation of the router, different after each restart
   * @param dispatcher the dispatcher that holds the targets
   */
  public CacheExchange(Clock clock, String routerName, long incarnation, Dispatcher dispatcher) {
    this.clock = clock;
    this.routerName = routerName;
    this.incarnation = incarnation;
    this.dispatcher = dispatcher;
  }

  /**
   * Returns the messages to send now; to be called periodically.
   *
   * @param routers the names of the other routers, those of the same region first
   * @return the messages, at most {@link #MAX_MESSAGES}
   */
  public List<Message> next(List<String> routers) {
    List<Message> messages = new ArrayList<>();
    routerToAsk(routers)
        .ifPresent(
            router ->
                messages.add(new Message(router, emptyReport().setCacheRequest(true).build())));
    while (messages.size() < MAX_MESSAGES && !outgoing.isEmpty()) {
      messages.add(outgoing.removeFirst());
    }
    return messages;
  }

  /**
   * Handles a report of another router. The segments of a snapshot are applied by {@link
   * ReportReader}.
   *
   * @param report the report
   */
  public void read(LoadReport report) {
    answered |= report.getCacheSnapshot();
    boolean pending =
        outgoing.stream().anyMatch(message -> message.router().equals(report.getRouter()));
    if (report.getCacheRequest() && !isAsking() && !pending) {
      snapshot().forEach(part -> outgoing.addLast(new Message(report.getRouter(), part)));
    }
  }

  private boolean isAsking() {
    return !answered && requests < MAX_REQUESTS;
  }

  /** Returns the router to ask now, empty if none is to be asked. */
  private Optional<String> routerToAsk(List<String> routers) {
    long now = clock.millis();
    if (!isAsking() || now < nextRequestAt || routers.isEmpty() || dispatcher.targets().isEmpty()) {
      return Optional.empty();
    }
    nextRequestAt = now + RETRY_MILLIS;
    // Routers that start at the same time begin with different ones.
    int first = Math.floorMod(routerName.hashCode(), routers.size());
    return Optional.of(routers.get((first + requests++) % routers.size()));
  }

  /** Returns the segments of all targets, split into reports of limited size. */
  private List<LoadReport> snapshot() {
    ReportPacker packer = new ReportPacker(routerName, incarnation);
    for (TargetLoad target : dispatcher.targets()) {
      List<Prompt.Segment> segments = target.cachedSegments();
      int from = Math.max(0, segments.size() - MAX_SEGMENTS);
      while (from < segments.size()) {
        int to = Math.min(segments.size(), from + SEGMENTS_PER_ENTRY);
        packer.add(entry(target, segments.subList(from, to)));
        from = to;
      }
    }
    return packer.reports().stream()
        .map(report -> report.toBuilder().setCacheSnapshot(true).build())
        .toList();
  }

  private static SentPrompt entry(TargetLoad target, List<Prompt.Segment> segments) {
    SentPrompt.Builder entry = SentPrompt.newBuilder().setTarget(target.incarnationKey());
    segments.forEach(segment -> entry.addParts(segment.id()).addTokens(segment.tokens()));
    return entry.build();
  }

  private LoadReport.Builder emptyReport() {
    return LoadReport.newBuilder().setRouter(routerName).setIncarnation(incarnation);
  }
}

package org.almondslip.router;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.almondslip.catalog.Catalog;
import org.almondslip.duty.EventThread;
import org.almondslip.membership.Member;
import org.almondslip.protocol.PeerConnection;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.routing.DialPlanner;
import org.almondslip.routing.RouterLogic;
import org.almondslip.routing.RoutingStats;
import org.almondslip.time.Clock;

/** Work of the decision thread: hands each event to the part that it concerns. */
final class RouterDuty implements EventThread.Handler<RouterEvent> {

  /** Interval between ticks, in milliseconds; offers are widened once a tick. */
  static final long TICK_MILLIS = 10;

  /** Ticks between two copies of the state for metrics. */
  private static final int STATS_TICKS = 20;

  /** Decisions. */
  private final RouterLogic logic;

  /** Connections to agents. */
  private final DialPlanner dials;

  /** Source of the catalog and the members. */
  private final FleetSource fleet;

  /** Source of time. */
  private final Clock clock;

  /** Receiver of a new catalog on this thread. */
  private final Consumer<Catalog> onCatalog;

  /** Catalog in force. */
  private Catalog catalog = Catalog.EMPTY;

  /** Known members. */
  private List<Member> members = List.of();

  /** Crash marks from durable storage that have been taken over. */
  private List<SuspectNotice> suspects = List.of();

  /** Number of ticks so far. */
  private long ticks;

  /** Last copy of the state for metrics. */
  private volatile RoutingStats stats = RoutingStats.EMPTY;

  /** Whether a drain has been started and all requests have ended. */
  private volatile boolean drained;

  /**
   * Creates the work of a decision thread.
   *
   * @param logic the decisions
   * @param dials the connections to agents
   * @param fleet the source of the catalog and the members
   * @param clock the source of time
   * @param onCatalog the receiver of a new catalog
   */
  RouterDuty(
      RouterLogic logic,
      DialPlanner dials,
      FleetSource fleet,
      Clock clock,
      Consumer<Catalog> onCatalog) {
    this.logic = logic;
    this.dials = dials;
    this.fleet = fleet;
    this.clock = clock;
    this.onCatalog = onCatalog;
  }

  @Override
  public void onEvent(RouterEvent event) {
    if (event instanceof RouterEvent.Arrived arrived) {
      logic.onRequest(arrived.request());
      arrived.taken().run();
    } else if (event instanceof RouterEvent.Consumed consumed) {
      logic.onConsumed(consumed.caller(), consumed.bytes());
    } else if (event instanceof RouterEvent.Gone gone) {
      logic.onCallerGone(gone.caller());
    } else if (event instanceof RouterEvent.Task task) {
      task.work().run();
    } else {
      onPeerEvent(event);
    }
    takeChanges();
  }

  @Override
  public void onTick() {
    fleet.onTick();
    takeChanges();
    logic.onTick();
    dials.onTick(clock.millis());
    drained = logic.drained();
    ticks++;
    if (ticks % STATS_TICKS == 0) {
      stats = logic.stats();
    }
  }

  /**
   * Returns the last copy of the state for metrics. May be called from any thread.
   *
   * @return the state
   */
  RoutingStats stats() {
    return stats;
  }

  /**
   * Returns whether a drain has been started and all requests have ended. May be called from any
   * thread.
   *
   * @return true when the process may stop
   */
  boolean drained() {
    return drained;
  }

  /**
   * Handles an event of a connection.
   *
   * @param event the event
   */
  private void onPeerEvent(RouterEvent event) {
    if (event instanceof RouterEvent.Received received) {
      fleet.onFrame(received.peer(), received.frame());
      logic.onFrame(received.peer(), received.frame());
    } else if (event instanceof RouterEvent.Opened opened) {
      onOpened(opened.peer());
    } else if (event instanceof RouterEvent.Closed closed) {
      onClosed(closed.peer(), closed.byPeer());
    } else if (event instanceof RouterEvent.DialFailed failed) {
      dials.onDialFailed(failed.address(), clock.millis());
    }
  }

  /**
   * Takes a new connection. Only dialled ones carry requests: on the others agents announce
   * themselves, and they are closed at once. If such a connection stood for the agent, the dialled
   * one would be ignored and the agent would get no work after the other has ended.
   *
   * @param peer the connection
   */
  private void onOpened(PeerConnection peer) {
    fleet.onPeerOpen(peer);
    if (peer.dialled()) {
      dials.onOpen(peer.peer());
      logic.onPeerOpen(peer);
    }
  }

  /**
   * Takes the end of a connection.
   *
   * @param peer the connection
   * @param byPeer whether the other side ended it
   */
  private void onClosed(PeerConnection peer, boolean byPeer) {
    fleet.onPeerClosed(peer);
    if (peer.dialled()) {
      dials.onClosed(peer.peer(), clock.millis());
      logic.onPeerClosed(peer, byPeer);
    }
  }

  /** Takes over a new catalog, new members and stored crash marks. */
  private void takeChanges() {
    if (fleet.catalog() != catalog) {
      catalog = fleet.catalog();
      onCatalog.accept(catalog);
      dials.onCatalog(catalog);
      logic.onCatalog(catalog);
    }
    if (fleet.storedSuspects() != suspects) {
      suspects = fleet.storedSuspects();
      logic.onStoredSuspects(suspects);
    }
    if (fleet.members() != members) {
      members = fleet.members();
      dials.onMembers(members);
      logic.onLeaving(
          members.stream()
              .filter(Member::leaving)
              .map(Member::instanceId)
              .collect(Collectors.toSet()));
    }
  }
}

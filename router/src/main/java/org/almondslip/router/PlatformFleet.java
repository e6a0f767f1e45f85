package org.almondslip.router;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.TicketApplier;
import org.almondslip.membership.Member;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.platform.FleetView;
import org.almondslip.platform.PlatformAddresses;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.router.admin.AdminService;
import org.almondslip.time.Clock;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Catalog and members from the table service, the instance list and peers. */
final class PlatformFleet implements FleetSource {

  /** Interval between tries to read the crash marks, in milliseconds. */
  private static final long READ_INTERVAL_MILLIS = 5_000;

  /** Catalog and members. */
  private final FleetView view;

  /** Tickets that are being applied. */
  private final TicketApplier applier;

  /** Crash marks in the table service. */
  private final SuspectTable suspects;

  /** Runs work on the decision thread. */
  private final Executor decision;

  /** Source of time. */
  private final Clock clock;

  /** Crash marks read at the start. */
  private List<SuspectNotice> storedSuspects = List.of();

  /** Whether the crash marks have been read. */
  private boolean suspectsRead;

  /** Time of the next try to read them, in milliseconds. */
  private long readSuspectsAt;

  /**
   * Creates the clients of the platform.
   *
   * @param addresses the addresses of the platform
   * @param clock the source of time
   * @param self the router
   * @param vertx the event loops
   * @param decision runs work on the decision thread
   */
  PlatformFleet(
      PlatformAddresses addresses, Clock clock, PeerIdentity self, Vertx vertx, Executor decision) {
    this.decision = decision;
    this.clock = clock;
    this.readSuspectsAt = clock.millis();
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
    this.view = new FleetView(vertx, addresses, self, clock, random, decision);
    this.applier = new TicketApplier(view.tableStore(), view.catalogSync(), clock, random);
    this.suspects = new SuspectTable(view.tableStore());
  }

  @Override
  public void onTick() {
    view.onTick();
    readSuspects();
  }

  /** Reads the crash marks until that has succeeded once. */
  private void readSuspects() {
    if (!suspectsRead && clock.millis() >= readSuspectsAt) {
      readSuspectsAt = clock.millis() + READ_INTERVAL_MILLIS;
      suspects.read(
          marks -> {
            suspectsRead = true;
            storedSuspects = marks;
          });
    }
  }

  @Override
  public void onPeerOpen(Peer peer) {
    view.onPeerOpen(peer);
  }

  @Override
  public void onPeerClosed(Peer peer) {
    view.onPeerClosed(peer);
  }

  @Override
  public void onFrame(Peer peer, Frame frame) {
    view.onFrame(peer, frame);
  }

  @Override
  public Catalog catalog() {
    return view.catalog();
  }

  @Override
  public List<Member> members() {
    return view.members();
  }

  @Override
  public List<SuspectNotice> storedSuspects() {
    return storedSuspects;
  }

  @Override
  public void recordSuspect(SuspectNotice notice) {
    suspects.record(notice);
  }

  @Override
  public Optional<AdminService> admin(Supplier<JsonObject> status) {
    return Optional.of(
        new AdminService(decision, applier, view.catalogSync(), view.tableStore(), status));
  }

  @Override
  public void close() {
    view.close();
  }
}

package org.almondslip.router;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.CatalogSync;
import org.almondslip.catalog.TicketApplier;
import org.almondslip.membership.Member;
import org.almondslip.membership.Membership;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.platform.HttpInstanceList;
import org.almondslip.platform.HttpTableStore;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.resource.Closer;
import org.almondslip.router.admin.AdminService;
import org.almondslip.time.Clock;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Catalog and members from the table service, the instance list and peers. */
final class PlatformFleet implements FleetSource {

  /** Time limit of a call to the platform, in milliseconds. */
  private static final long CALL_MILLIS = 2_000;

  /** Interval between tries to read the crash marks, in milliseconds. */
  private static final long READ_INTERVAL_MILLIS = 5_000;

  /** Open clients. */
  private final Closer closer = new Closer();

  /** Table service. */
  private final HttpTableStore store;

  /** Members. */
  private final Membership membership;

  /** Catalog. */
  private final CatalogSync sync;

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

  /** Known members. */
  private List<Member> members = List.of();

  /**
   * Creates the clients of the platform.
   *
   * @param settings the addresses of the platform
   * @param clock the source of time
   * @param self the router
   * @param vertx the event loops
   * @param decision runs work on the decision thread
   */
  PlatformFleet(
      RouterSettings.PlatformSettings settings,
      Clock clock,
      PeerIdentity self,
      Vertx vertx,
      Executor decision) {
    this.decision = decision;
    this.clock = clock;
    this.readSuspectsAt = clock.millis();
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
    this.store =
        closer.register(new HttpTableStore(vertx, settings.tableService(), CALL_MILLIS, decision));
    HttpInstanceList list =
        closer.register(
            new HttpInstanceList(
                vertx, settings.instanceList(), self.region(), CALL_MILLIS, decision));
    this.membership =
        new Membership(self, list, clock, random, changed -> members = changed.members());
    this.sync = new CatalogSync(store, clock, random, membership::isPoller, next -> {});
    this.applier = new TicketApplier(store, sync, clock, random);
    this.suspects = new SuspectTable(store);
  }

  @Override
  public void onTick() {
    membership.onTick();
    sync.onTick();
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
    membership.onPeerOpen(peer);
    sync.onPeerOpen(peer);
  }

  @Override
  public void onPeerClosed(Peer peer) {
    membership.onPeerClosed(peer);
    sync.onPeerClosed(peer);
  }

  @Override
  public void onFrame(Peer peer, Frame frame) {
    membership.onFrame(peer, frame);
    sync.onFrame(peer, frame);
  }

  @Override
  public Catalog catalog() {
    return sync.catalog();
  }

  @Override
  public List<Member> members() {
    return members;
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
    return Optional.of(new AdminService(decision, applier, sync, store, status));
  }

  @Override
  public void close() {
    closer.close();
  }
}

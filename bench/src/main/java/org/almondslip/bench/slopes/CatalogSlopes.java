package org.almondslip.bench.slopes;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Consumer;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.CatalogObject;
import org.almondslip.catalog.CatalogObject.Share;
import org.almondslip.catalog.CatalogSync;
import org.almondslip.catalog.Kind;
import org.almondslip.catalog.VersionedObject;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.CatalogChanges;
import org.almondslip.protocol.wire.CatalogPull;
import org.almondslip.protocol.wire.CatalogRevision;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Role;
import org.almondslip.store.StoreResult;
import org.almondslip.store.TableStore;
import org.almondslip.time.Clock;
import org.apache.commons.rng.simple.RandomSource;

/** Costs of the catalog: memory, merge and spread of a ticket. */
final class CatalogSlopes {

  /** Organisations, each with three objects. */
  private static final int[] ORGANISATIONS = {120, 485, 970};

  /** Targets at the planned scale. */
  private static final int TARGETS = 600;

  /** Pools at the planned scale. */
  private static final int POOLS = 11;

  /** Tickets in each round of spreading. */
  private static final int TICKETS = 50;

  /** Not instantiable. */
  private CatalogSlopes() {}

  /**
   * Measures.
   *
   * @return the costs
   */
  static List<Series> measure() {
    List<Series> series = new ArrayList<>();
    for (int reach : new int[] {1, POOLS}) {
      series.addAll(
          new Sweep(1, 3)
              .run(
                  "catalog_reach_" + reach,
                  "organisations, 600 targets, " + reach + " of 11 pools each",
                  ORGANISATIONS,
                  organisations -> catalog(organisations, reach)));
    }
    series.addAll(
        Sweep.TIMED.run(
            "ticket", "connections of a process", new int[] {4, 16, 64}, CatalogSlopes::spread));
    return series;
  }

  /**
   * Measures a catalog and the merge of one changed share.
   *
   * @param organisations the number of organisations
   * @param reach the pools that each may use
   * @return the costs
   */
  private static Map<String, Double> catalog(int organisations, int reach) {
    List<VersionedObject> objects =
        new ScaleCatalog(organisations, POOLS, TARGETS, reach).objects();
    Map<String, Double> costs = new HashMap<>();
    costs.put("objects", (double) objects.size());
    costs.put("heap_bytes", HeapUse.of(() -> Catalog.EMPTY.merge(copies(objects), 1)));
    Catalog catalog = Catalog.EMPTY.merge(objects, 1);
    ProcessorTime time = new ProcessorTime();
    VersionedObject change = new VersionedObject(new Share("organisation-1", 5), 2, 2);
    time.time(() -> catalog.merge(List.of(change), 2));
    costs.put("merge_us", time.takeMicros());
    costs.put("transfer_bytes", (double) changes(objects, 1).getSerializedSize());
    return costs;
  }

  /**
   * Parses objects from their text, as a process does that loads the catalog.
   *
   * @param objects the objects
   * @return equal objects that share nothing with them
   */
  private static List<VersionedObject> copies(List<VersionedObject> objects) {
    return objects.stream()
        .map(
            state -> {
              CatalogObject object = state.object();
              return new VersionedObject(
                  object.kind().parse(Kind.toJson(object)), state.number(), state.revision());
            })
        .toList();
  }

  /**
   * Builds the frame with changed objects.
   *
   * @param objects the objects
   * @param revision the revision
   * @return the frame
   */
  private static Frame changes(List<VersionedObject> objects, long revision) {
    CatalogChanges.Builder changes = CatalogChanges.newBuilder().setRevision(revision);
    for (VersionedObject state : objects) {
      changes.addObjects(
          org.almondslip.protocol.wire.CatalogObject.newBuilder()
              .setKind(state.object().kind().label())
              .setName(state.object().name())
              .setNumber(state.number())
              .setRevision(state.revision())
              .setJson(Kind.toJson(state.object())));
    }
    return Frame.newBuilder().setCatalogChanges(changes).build();
  }

  /**
   * Measures the frames by which a process learns of tickets of one object from its first peer,
   * announces them to all peers and hands them on to one that pulls.
   *
   * @param connections the connections of the process
   * @return the costs of a ticket
   */
  private static Map<String, Double> spread(int connections) {
    FrameTally tally = new FrameTally();
    CatalogSync sync =
        new CatalogSync(
            SilentStore.INSTANCE,
            new Clock.Manual(1_000_000),
            RandomSource.SPLIT_MIX_64.create(1L),
            () -> false,
            catalog -> {});
    List<Peer> peers = new ArrayList<>();
    Queue<Port.Delivery> toFirst = new ArrayDeque<>();
    for (int i = 0; i < connections; i++) {
      PeerIdentity identity =
          new PeerIdentity("agent-" + i, 1, Role.AGENT, "north", "dc-0", "127.0.0.1:" + i, "");
      peers.add(new Port(i, identity, tally, i == 0 ? toFirst : new DroppingQueue()));
      sync.onPeerOpen(peers.get(i));
    }
    tally.takeControl();
    for (int ticket = 1; ticket <= TICKETS; ticket++) {
      toFirst.clear();
      deliver(sync, peers.get(0), tally, revision(ticket));
      if (toFirst.isEmpty()) {
        throw new IllegalStateException("the process did not pull the changes");
      }
      VersionedObject change = new VersionedObject(new Share("organisation-1", 5), ticket, ticket);
      deliver(sync, peers.get(0), tally, changes(List.of(change), ticket));
      deliver(sync, peers.get(1), tally, pull(ticket - 1));
    }
    return Map.of("control_bytes", tally.takeControl() / TICKETS);
  }

  /**
   * Delivers a frame.
   *
   * @param sync the receiver
   * @param from the sender
   * @param tally counts the frame
   * @param frame the frame
   */
  private static void deliver(CatalogSync sync, Peer from, FrameTally tally, Frame frame) {
    tally.count(frame, frame.getSerializedSize());
    sync.onFrame(from, frame);
  }

  /**
   * Builds an announcement.
   *
   * @param revision the revision
   * @return the frame
   */
  private static Frame revision(long revision) {
    return Frame.newBuilder()
        .setCatalogRevision(CatalogRevision.newBuilder().setRevision(revision))
        .build();
  }

  /**
   * Builds a request for changes.
   *
   * @param after the revision after which changes are wanted
   * @return the frame
   */
  private static Frame pull(long after) {
    return Frame.newBuilder()
        .setCatalogPull(CatalogPull.newBuilder().setAfterRevision(after))
        .build();
  }

  /** Table service that never answers. */
  private enum SilentStore implements TableStore {
    /** The only instance. */
    INSTANCE;

    @Override
    public void read(String table, String key, Consumer<StoreResult<Optional<Row>>> callback) {}

    @Override
    public void scan(String table, String prefix, Consumer<StoreResult<List<Row>>> callback) {}

    @Override
    public void transact(Transaction transaction, Consumer<StoreResult<Outcome>> callback) {}
  }
}

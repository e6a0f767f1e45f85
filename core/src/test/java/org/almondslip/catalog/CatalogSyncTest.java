package org.almondslip.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.lifecycle.BeforeTry;
import org.almondslip.catalog.CatalogObject.Organisation;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Heartbeat;
import org.almondslip.protocol.wire.Role;
import org.almondslip.store.FaultyTableStore;
import org.almondslip.time.Simulation;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Tests how changes spread among several processes with delayed and silent connections. */
class CatalogSyncTest {

  /** Time within which a change must be in force everywhere, in milliseconds. */
  private static final long SPREAD_LIMIT = 4_000;

  /** Simulated time. */
  private Simulation simulation;

  /** Table service. */
  private FaultyTableStore store;

  /** Processes of the fleet. */
  private final List<Node> nodes = new ArrayList<>();

  /** Number of the next connection. */
  private long nextConnection = 1;

  /** Starts each try of a property without traces of the one before. */
  @BeforeTry
  void reset() {
    simulation = new Simulation();
    store = new FaultyTableStore(simulation, 1, 0);
    nodes.clear();
    nextConnection = 1;
  }

  /**
   * Guards against a ticket that is not in force everywhere within 4 s, and against objects that go
   * back, when links are slow, some are silent and the table service loses answers.
   *
   * @param seed the seed of delays and faults
   * @param size the number of processes
   * @param outage whether the table service fails right after the last write
   */
  @Property(tries = 60, seed = "7302", shrinking = ShrinkingMode.OFF)
  void ticketIsInForceEverywhereWithinFourSeconds(
      @ForAll long seed, @ForAll @IntRange(min = 3, max = 12) int size, @ForAll boolean outage) {
    UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
    store = new FaultyTableStore(simulation, seed + 1, 0.05);
    for (int i = 0; i < size; i++) {
      nodes.add(new Node(i, i < 2, seed + 10 + i));
    }
    for (int i = 0; i < size; i++) {
      connect(nodes.get(i), nodes.get((i + 1) % size), 1 + random.nextLong(100), false);
      Node other = nodes.get(random.nextInt(size));
      connect(nodes.get(i), other, 1 + random.nextLong(100), random.nextBoolean());
    }
    simulation.run(5_000);
    for (int number = 1; number <= 4; number++) {
      TicketResult result = nodes.get(random.nextInt(size)).apply(number);
      if (outage && number == 4) {
        store.setDown(true);
      }
      simulation.run(SPREAD_LIMIT);
      if (result instanceof TicketResult.Applied applied) {
        for (Node node : nodes) {
          assertThat(node.sync.catalog().revision()).isGreaterThanOrEqualTo(applied.revision());
          assertThat(node.numberOf("acme")).isGreaterThanOrEqualTo(number);
        }
      }
    }
    assertThat(nodes).noneMatch(node -> node.wentBack);
  }

  /** Guards against a process that cannot start during an outage although its peers could help. */
  @Example
  void processStartsFromPeersWhileTheStoreIsDown() {
    Node first = new Node(0, true, 1);
    simulation.run(100);
    first.apply(1);
    store.setDown(true);
    Node cold = new Node(1, true, 2);
    simulation.run(20_000);
    assertThat(cold.sync.isReady()).isFalse();
    connect(cold, first, 20, false);
    simulation.run(1_000);
    assertThat(cold.sync.isReady()).isTrue();
    assertThat(cold.numberOf("acme")).isEqualTo(1);
  }

  /** Guards against a first start of a fleet that waits for a ticket before it is ready. */
  @Example
  void emptyStoreMakesReady() {
    Node node = new Node(0, false, 1);
    simulation.run(1_000);
    assertThat(node.sync.isReady()).isTrue();
    assertThat(node.sync.catalog().revision()).isZero();
  }

  /** Guards against a ticket that spreads only while the process that applied it is connected. */
  @Example
  void pollersFindTicketOfAnUnconnectedProcess() {
    for (int i = 0; i < 6; i++) {
      nodes.add(new Node(i, i == 0, 10 + i));
    }
    for (int i = 0; i < 6; i++) {
      connect(nodes.get(i), nodes.get((i + 1) % 6), 50, false);
    }
    simulation.run(3_000);
    Node unconnected = new Node(99, false, 99);
    unconnected.apply(1);
    simulation.run(SPREAD_LIMIT);
    assertThat(nodes).allMatch(node -> node.numberOf("acme") == 1);
  }

  /** Guards against a process without connections that learns of tickets after half a minute. */
  @Example
  void processWithoutPeersReadsEverySecond() {
    final Node unconnected = new Node(0, false, 1);
    Node other = new Node(1, false, 2);
    simulation.run(3_000);
    other.apply(1);
    simulation.run(SPREAD_LIMIT);
    assertThat(unconnected.numberOf("acme")).isEqualTo(1);
  }

  /** Guards against processes that are no pollers and load the table service every second. */
  @Example
  void onlyPollersReadOften() {
    int[] reads = new int[2];
    List<CatalogSync> syncs = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      int index = i;
      CountingTableStore counting = new CountingTableStore(store, () -> reads[index]++);
      syncs.add(
          new CatalogSync(
              counting,
              simulation.clock(),
              RandomSource.SPLIT_MIX_64.create(1L),
              () -> index == 0,
              catalog -> {}));
    }
    Node other = new Node(0, false, 1);
    syncs.get(1).onPeerOpen(new Link(1, other, other, 1, true));
    simulation.every(100, () -> syncs.forEach(CatalogSync::onTick));
    simulation.run(120_000);
    assertThat(reads[0]).isBetween(100, 121);
    assertThat(reads[1]).isBetween(3, 6);
  }

  /** Guards against a large catalog that exceeds the frame limit or is taken over in part. */
  @Example
  void largeCatalogArrivesInPartsButWhole() {
    Catalog large = Catalog.EMPTY;
    List<VersionedObject> objects = new ArrayList<>();
    List<String> reach = java.util.stream.IntStream.range(0, 50).mapToObj(i -> "t" + i).toList();
    for (int i = 0; i < 5_000; i++) {
      objects.add(new VersionedObject(new Organisation("o" + i, reach), 1, 1));
    }
    large = large.merge(objects, 1);
    List<Frame> frames = CatalogFrames.changes(large, 0);
    assertThat(frames).hasSizeGreaterThan(3);
    assertThat(frames).allMatch(f -> f.getSerializedSize() < 2 * CatalogFrames.CHUNK_BYTES);
    Node cold = new Node(0, false, 1);
    store.setDown(true);
    Link link = new Link(9, cold, cold, 1, true);
    cold.sync.onPeerOpen(link);
    cold.sync.onFrame(link, CatalogFrames.revision(1));
    for (Frame frame : frames) {
      assertThat(cold.sync.catalog()).isSameAs(Catalog.EMPTY);
      cold.sync.onFrame(link, frame);
    }
    assertThat(cold.sync.catalog().all()).hasSize(5_000);
  }

  /**
   * Connects two processes.
   *
   * @param a the first process
   * @param b the second process
   * @param delay the delay of each frame in milliseconds
   * @param silent whether frames are lost without the connection being closed
   */
  private void connect(Node a, Node b, long delay, boolean silent) {
    if (a != b) {
      new Link(nextConnection, a, b, delay, silent)
          .open(new Link(nextConnection, b, a, delay, silent));
      nextConnection++;
    }
  }

  /** One process with its catalog. */
  private final class Node {

    /** Number of the process. */
    private final int id;

    /** Catalog under test. */
    private final CatalogSync sync;

    /** Applier of the process. */
    private final TicketApplier applier;

    /** Highest number seen of each object. */
    private final Map<String, Long> seen = new HashMap<>();

    /** Whether an object or the revision went back. */
    private boolean wentBack;

    /**
     * Starts a process.
     *
     * @param id the number of the process
     * @param poller whether it is an elected poller
     * @param seed the seed of its jitter
     */
    Node(int id, boolean poller, long seed) {
      UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
      this.id = id;
      this.sync = new CatalogSync(store, simulation.clock(), random, () -> poller, this::onCatalog);
      this.applier = new TicketApplier(store, sync, simulation.clock(), random);
      simulation.every(20, sync::onTick);
      simulation.every(20, applier::onTick);
    }

    /**
     * Checks that nothing goes back.
     *
     * @param catalog the new catalog
     */
    private void onCatalog(Catalog catalog) {
      wentBack |= seen.getOrDefault("revision", 0L) > catalog.revision();
      seen.put("revision", catalog.revision());
      for (VersionedObject state : catalog.all()) {
        Long before = seen.put(state.object().key(), state.number());
        wentBack |= before != null && before > state.number();
      }
    }

    /**
     * Applies a ticket and runs the simulation until the outcome is known.
     *
     * @param number the number of the ticket
     * @return the outcome
     */
    private TicketResult apply(int number) {
      List<TicketResult> results = new ArrayList<>();
      List<CatalogObject> objects = new ArrayList<>();
      objects.add(new Organisation("acme", List.of()));
      objects.add(new CatalogObject.Share("acme", number));
      applier.apply(
          new Ticket(number, "kim", "", objects), TicketSource.NoOp.INSTANCE, results::add);
      while (results.isEmpty()) {
        simulation.run(1);
      }
      return results.get(0);
    }

    /**
     * Returns the number of an organisation.
     *
     * @param name the name
     * @return the number of the ticket that wrote it
     */
    private long numberOf(String name) {
      return sync.catalog().object(Kind.ORGANISATION, name).orElseThrow().number();
    }
  }

  /** One end of a connection between two processes. */
  private final class Link implements Peer {

    /** Number of the connection. */
    private final long id;

    /** Process that owns this end. */
    private final Node owner;

    /** Process at the other end. */
    private final Node other;

    /** Delay of each frame in milliseconds. */
    private final long delay;

    /** Whether frames are lost. */
    private final boolean silent;

    /** Other end, null for a connection without one. */
    private Link end;

    /**
     * Creates an end that is not open yet.
     *
     * @param id the number of the connection
     * @param owner the process that owns this end
     * @param other the process at the other end
     * @param delay the delay of each frame in milliseconds
     * @param silent whether frames are lost
     */
    Link(long id, Node owner, Node other, long delay, boolean silent) {
      this.id = id;
      this.owner = owner;
      this.other = other;
      this.delay = delay;
      this.silent = silent;
    }

    /**
     * Opens both ends; a silent one still carries its first heartbeat.
     *
     * @param opposite the other end
     */
    private void open(Link opposite) {
      end = opposite;
      opposite.end = this;
      owner.sync.onPeerOpen(this);
      other.sync.onPeerOpen(opposite);
      simulation.every(1_000, () -> heartbeat(this));
      simulation.every(1_000, () -> heartbeat(opposite));
    }

    /**
     * Sends a heartbeat. Heartbeats pass silent links, so that a process learns of a revision that
     * it cannot pull there.
     *
     * @param from the end that sends
     */
    private void heartbeat(Link from) {
      Heartbeat.Builder beat =
          Heartbeat.newBuilder().setCatalogRevision(from.owner.sync.catalog().revision());
      Frame frame = Frame.newBuilder().setHeartbeat(beat).build();
      simulation.after(delay, () -> from.other.sync.onFrame(from.end, frame));
    }

    @Override
    public long id() {
      return id;
    }

    @Override
    public PeerIdentity peer() {
      return new PeerIdentity("n" + other.id, 1, Role.ROUTER, "r", "d", "127.0.0.1:1", "");
    }

    @Override
    public void send(Frame frame) {
      if (!silent) {
        simulation.after(delay, () -> other.sync.onFrame(end, frame));
      }
    }
  }
}

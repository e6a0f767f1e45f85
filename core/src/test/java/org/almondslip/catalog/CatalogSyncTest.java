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

/** Tests the propagation of changes among processes with delayed and unresponsive connections. */
class CatalogSyncTest {

  /** Time within which a change must reach all processes, in milliseconds. */
  private static final long PROPAGATION_LIMIT = 4_000;

  private Simulation simulation;

  private FaultyTableStore store;

  /** Processes of the fleet. */
  private final List<Node> nodes = new ArrayList<>();

  /** Identifier of the next connection. */
  private long nextConnection = 1;

  /** Resets the state before each try of a property. */
  @BeforeTry
  void reset() {
    simulation = new Simulation();
    store = new FaultyTableStore(simulation, 1, 0);
    nodes.clear();
    nextConnection = 1;
  }

  /**
   * Guards against a ticket that does not reach all processes within 4 s and against objects that
   * revert when links are slow, some links lose frames and the table service loses responses.
   *
   * @param seed the seed of delays and faults
   * @param size the number of processes
   * @param outage whether the table service fails right after the last write
   */
  @Property(tries = 60, seed = "7302", shrinking = ShrinkingMode.OFF)
  void ticketReachesAllProcessesWithinFourSeconds(
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
      simulation.run(PROPAGATION_LIMIT);
      if (result instanceof TicketResult.Applied applied) {
        for (Node node : nodes) {
          assertThat(node.sync.catalog().revision()).isGreaterThanOrEqualTo(applied.revision());
          assertThat(node.numberOf("acme")).isGreaterThanOrEqualTo(number);
        }
      }
    }
    assertThat(nodes).noneMatch(node -> node.reverted);
  }

  /** Guards against a process that does not load the catalog from peers during an outage. */
  @Example
  void processLoadsCatalogFromPeersWhileStoreIsDown() {
    Node first = new Node(0, true, 1);
    simulation.run(100);
    first.apply(1);
    store.setDown(true);
    Node joining = new Node(1, true, 2);
    simulation.run(20_000);
    assertThat(joining.sync.isReady()).isFalse();
    connect(joining, first, 20, false);
    simulation.run(1_000);
    assertThat(joining.sync.isReady()).isTrue();
    assertThat(joining.numberOf("acme")).isEqualTo(1);
  }

  /** Guards against a new fleet that is not ready before the first ticket. */
  @Example
  void processIsReadyWithEmptyStore() {
    Node node = new Node(0, false, 1);
    simulation.run(1_000);
    assertThat(node.sync.isReady()).isTrue();
    assertThat(node.sync.catalog().revision()).isZero();
  }

  /**
   * Guards against a ticket that does not propagate if the process that applied it has no peers.
   */
  @Example
  void pollersReadTicketOfUnconnectedProcess() {
    for (int i = 0; i < 6; i++) {
      nodes.add(new Node(i, i == 0, 10 + i));
    }
    for (int i = 0; i < 6; i++) {
      connect(nodes.get(i), nodes.get((i + 1) % 6), 50, false);
    }
    simulation.run(3_000);
    Node unconnected = new Node(99, false, 99);
    unconnected.apply(1);
    simulation.run(PROPAGATION_LIMIT);
    assertThat(nodes).allMatch(node -> node.numberOf("acme") == 1);
  }

  /** Guards against a process without connections that reads tickets only every 30 s. */
  @Example
  void processWithoutPeersReadsEverySecond() {
    final Node unconnected = new Node(0, false, 1);
    Node other = new Node(1, false, 2);
    simulation.run(3_000);
    other.apply(1);
    simulation.run(PROPAGATION_LIMIT);
    assertThat(unconnected.numberOf("acme")).isEqualTo(1);
  }

  /** Guards against processes that read the table service every second without being pollers. */
  @Example
  void onlyPollersReadEverySecond() {
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

  /** Guards against a large catalog that exceeds the frame limit or is merged in part. */
  @Example
  void largeCatalogIsSplitIntoFramesAndMergedAtOnce() {
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
    Node receiver = new Node(0, false, 1);
    store.setDown(true);
    Link link = new Link(9, receiver, receiver, 1, true);
    receiver.sync.onPeerOpen(link);
    receiver.sync.onFrame(link, CatalogFrames.revision(1));
    for (Frame frame : frames) {
      assertThat(receiver.sync.catalog()).isSameAs(Catalog.EMPTY);
      receiver.sync.onFrame(link, frame);
    }
    assertThat(receiver.sync.catalog().all()).hasSize(5_000);
  }

  /**
   * Connects two processes.
   *
   * @param a the first process
   * @param b the second process
   * @param delay the delay of each frame in milliseconds
   * @param silent whether frames are lost although the connection stays open
   */
  private void connect(Node a, Node b, long delay, boolean silent) {
    if (a != b) {
      new Link(nextConnection, a, b, delay, silent)
          .open(new Link(nextConnection, b, a, delay, silent));
      nextConnection++;
    }
  }

  /** Simulated process with its catalog. */
  private final class Node {

    /** Number of the process. */
    private final int id;

    /** Replication under test. */
    private final CatalogSync sync;

    /** Applier of the process. */
    private final TicketApplier applier;

    /** Last observed ticket number of each object, and the last observed revision. */
    private final Map<String, Long> observed = new HashMap<>();

    /** Whether an object or the revision has reverted. */
    private boolean reverted;

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
    }

    /**
     * Records whether an object or the revision has reverted.
     *
     * @param catalog the new catalog
     */
    private void onCatalog(Catalog catalog) {
      reverted |= observed.getOrDefault("revision", 0L) > catalog.revision();
      observed.put("revision", catalog.revision());
      for (VersionedObject state : catalog.all()) {
        Long before = observed.put(state.object().key(), state.number());
        reverted |= before != null && before > state.number();
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
     * Returns the ticket number of an organisation.
     *
     * @param name the name of the organisation
     * @return the number of the ticket that last changed it
     */
    private long numberOf(String name) {
      return sync.catalog().object(Kind.ORGANISATION, name).orElseThrow().number();
    }
  }

  /** One end of a connection between two processes. */
  private final class Link implements Peer {

    /** Identifier of the connection. */
    private final long id;

    /** Process that owns this end. */
    private final Node owner;

    /** Process at the other end. */
    private final Node other;

    /** Delay of each frame in milliseconds. */
    private final long delay;

    /** Whether all frames other than heartbeats are lost. */
    private final boolean silent;

    /** Other end, null for a connection without one. */
    private Link end;

    /**
     * Creates an end that is not open yet.
     *
     * @param id the identifier of the connection
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
     * Opens both ends and starts their heartbeats.
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
     * Sends a heartbeat. Heartbeats are delivered on silent links too, so that a process learns of
     * a revision that it cannot pull over the same link.
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

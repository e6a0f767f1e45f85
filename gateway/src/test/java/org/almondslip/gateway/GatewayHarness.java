package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.almondslip.directory.Directory;
import org.almondslip.directory.IngressLimits;
import org.almondslip.directory.Organisation;
import org.almondslip.directory.Route;
import org.almondslip.directory.RouteKind;
import org.almondslip.directory.RoutingTable;
import org.almondslip.directory.ServicePolicy;
import org.almondslip.directory.TargetRecord;
import org.almondslip.residency.AllowedRegions;
import org.almondslip.resource.Closer;
import org.almondslip.time.Clock;

/** Starts a router with one route and scripted targets, and sends requests to it. */
final class GatewayHarness implements AutoCloseable {

  /** Timeout of all waits in seconds. */
  static final int TIMEOUT_SECONDS = 20;

  /**
   * Event loop delay above which the router refuses requests, in milliseconds. It is longer than
   * the scheduling delays of a busy machine, and shorter than the delay that a test causes.
   */
  static final long MAX_DELAY_MILLIS = 5_000;

  static final int MAX_DESCRIPTORS = 1_000;

  /** Retries per window of the fleet, of which a router of an unknown fleet uses 10. */
  private static final double FLEET_RETRY_ALLOWANCE = 800;

  private final Closer closer = new Closer();

  private long idleTimeoutMillis = 15_000;

  private int maxBodyBytes = 65_536;

  /** Memory of the bodies of all connections in bytes, 0 for a fraction of the heap. */
  private long bodyMemoryBytes;

  private final TestClock clock = new TestClock();

  /** Event loop of the latest router. */
  private volatile Vertx eventLoop;

  /** Directory of the latest router. */
  private volatile Directory latestDirectory;

  /** System clock whose wall time a test can advance, and that can block its reader once. */
  static final class TestClock implements Clock {

    private volatile long wallOffsetMillis;

    /** Time for which the next call of {@link #millis} blocks, in milliseconds. */
    private volatile long blockMillis;

    /** Whether a call of {@link #millis} is blocked. */
    private volatile boolean blocked;

    @Override
    public long millis() {
      long millis = blockMillis;
      if (millis > 0) {
        blockMillis = 0;
        blocked = true;
        sleep(millis);
        blocked = false;
      }
      return Standard.SYSTEM.millis();
    }

    @Override
    public long wallMillis() {
      return Standard.SYSTEM.wallMillis() + wallOffsetMillis;
    }

    /** Sets how far the wall clock is ahead of the system clock, in milliseconds. */
    void setWallOffset(long millis) {
      wallOffsetMillis = millis;
    }

    /**
     * Blocks the event loop at its next reading of the clock, and returns once it is blocked.
     *
     * @param millis the duration in milliseconds
     */
    void blockEventLoop(long millis) {
      blockMillis = millis;
      await(() -> blocked);
    }
  }

  TestClock clock() {
    return clock;
  }

  @Override
  public void close() {
    closer.close();
  }

  /** Starts a target that is stopped with the harness. */
  ScriptedTarget target(ScriptedTarget.Script script) throws IOException {
    return closer.register(new ScriptedTarget(script));
  }

  /** Starts a target that responds to the head of a request and is stopped with the harness. */
  ScriptedTarget earlyTarget(ScriptedTarget.Script script) throws IOException {
    return closer.register(ScriptedTarget.early(script));
  }

  /** Sets the idle timeout of caller connections for routers that are started later. */
  void setIdleTimeoutMillis(long millis) {
    idleTimeoutMillis = millis;
  }

  /**
   * Sets the memory of bodies for routers that are started later.
   *
   * @param bytes the memory of all bodies in bytes
   * @param maxBody the largest request body in bytes
   */
  void setBodyMemory(long bytes, int maxBody) {
    bodyMemoryBytes = bytes;
    maxBodyBytes = maxBody;
  }

  /**
   * Starts a router with one route, whose API key is {@code secret}.
   *
   * @param kind the kind of the route
   * @param attempts the maximum number of attempts per request
   * @param targets the targets
   * @return the router
   */
  Gateway gateway(RouteKind kind, int attempts, ScriptedTarget... targets) {
    List<TargetRecord> records = new ArrayList<>();
    for (int i = 0; i < targets.length; i++) {
      records.add(targets[i].record("t" + i));
    }
    return gateway(
        table(1, kind, attempts, AllowedRegions.ANY, AllowedRegions.ANY),
        TestHeaderCodec.INSTANCE,
        records);
  }

  /**
   * Starts a router.
   *
   * @param table the routing table
   * @param codec reads and writes headers
   * @param records the targets
   * @return the router
   */
  Gateway gateway(RoutingTable table, HeaderCodec codec, List<TargetRecord> records) {
    DirectorySource source =
        new DirectorySource() {
          @Override
          public void start(Directory directory, PeerAddressListener peers) {
            latestDirectory = directory;
            directory.onTable(table);
            records.forEach(directory::onTarget);
            directory.onListed(Set.of(), 0);
            directory.routesFreshness().confirm(directory.routesFreshness().timestamp());
          }

          @Override
          public void close() {}
        };
    GatewaySettings settings =
        new GatewaySettings(
            "router",
            "region",
            "dc",
            "127.0.0.1:0",
            "127.0.0.1:0",
            "127.0.0.1:0",
            "127.0.0.1:0",
            "127.0.0.1:1",
            10_000,
            0.2,
            FLEET_RETRY_ALLOWANCE,
            30_000,
            6_000,
            MAX_DELAY_MILLIS,
            MAX_DESCRIPTORS,
            Map.of(),
            1,
            0,
            false,
            3_000,
            true);
    Gateway gateway =
        new Gateway(
            settings,
            clock,
            codec,
            (vertx, time) -> {
              eventLoop = vertx;
              return source;
            },
            bodyMemoryBytes > 0 ? new BodyMemory(bodyMemoryBytes) : BodyMemory.ofHeap());
    gateway.start();
    return gateway;
  }

  /**
   * Returns a table with one route, whose API key is {@code secret}.
   *
   * @param version the version
   * @param kind the kind of the route
   * @param attempts the maximum number of attempts per request
   * @param ofRoute the regions that the route allows
   * @param ofOrganisation the regions that the organisation of the key allows
   * @return the table
   */
  RoutingTable table(
      long version,
      RouteKind kind,
      int attempts,
      AllowedRegions ofRoute,
      AllowedRegions ofOrganisation) {
    Route route =
        new Route(
            "r",
            "h",
            "/a/",
            kind,
            15_000,
            10_000,
            1,
            List.of(new Route.Share("s", 1)),
            attempts,
            false,
            ofRoute);
    return new RoutingTable(
        version,
        List.of(route),
        List.of(new ServicePolicy("s", 0)),
        Map.of("secret", new Organisation("org", OptionalInt.empty(), ofOrganisation)),
        true,
        new IngressLimits(8_192, maxBodyBytes, 3_000, idleTimeoutMillis));
  }

  /** Runs a task with the directory of the latest router on its event loop. */
  void updateDirectory(Consumer<Directory> task) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    eventLoop.runOnContext(
        ignored -> {
          task.accept(latestDirectory);
          done.complete(null);
        });
    done.join();
  }

  /**
   * Returns a request that asks the router to close the connection after the response.
   *
   * @param headers additional header lines, each with its line end
   * @return the request
   */
  static String request(String headers) {
    return "POST /a/x HTTP/1.1\r\nHost: h\r\nid: r1\r\nkey: secret\r\nConnection: close\r\n"
        + headers
        + "Content-Length: 2\r\n\r\nhi";
  }

  /**
   * Sends a request on a new connection and reads until the router closes it.
   *
   * @param gateway the router
   * @param request the request
   * @return the raw response
   * @throws IOException if the connection fails
   */
  static String send(Gateway gateway, String request) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", gateway.port())) {
      socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
      ScriptedTarget.write(socket, request);
      ByteArrayOutputStream response = new ByteArrayOutputStream();
      socket.getInputStream().transferTo(response);
      return response.toString(StandardCharsets.ISO_8859_1);
    }
  }

  /** Returns a chunk of a body in chunked transfer encoding. */
  static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /** Waits until a condition is true, and fails after the timeout. */
  static void await(java.util.function.BooleanSupplier condition) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!condition.getAsBoolean() && System.nanoTime() < end) {
      sleep(10);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

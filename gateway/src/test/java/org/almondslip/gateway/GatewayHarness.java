package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.almondslip.directory.Directory;
import org.almondslip.directory.IngressLimits;
import org.almondslip.directory.Organisation;
import org.almondslip.directory.Route;
import org.almondslip.directory.RouteKind;
import org.almondslip.directory.RoutingTable;
import org.almondslip.directory.ServicePolicy;
import org.almondslip.directory.TargetRecord;
import org.almondslip.resource.Closer;
import org.almondslip.time.Clock;

/** Starts a router with one route and scripted targets, and calls it. */
final class GatewayHarness implements AutoCloseable {

  /** Time within which everything is expected to happen, in seconds. */
  static final int LIMIT_SECONDS = 20;

  /**
   * Delay of the event loop above which the router refuses, in milliseconds. It is longer than a
   * busy machine holds up a process, and shorter than the delay that a test causes.
   */
  static final long MAX_DELAY_MILLIS = 5_000;

  /** Descriptors of the router. */
  static final int DESCRIPTORS = 1_000;

  /** Resources of a test. */
  private final Closer closer = new Closer();

  /** Longest time that a connection of a caller may stay idle, in milliseconds. */
  private long idleMillis = 15_000;

  /** Clock of the router. */
  private final SteppedClock clock = new SteppedClock();

  /** Clock of the system that a test can set ahead, and that can hold up its reader. */
  static final class SteppedClock implements Clock {

    /** How far the wall clock is ahead, in milliseconds. */
    private volatile long ahead;

    /** Time for which the next reading of the clock blocks, in milliseconds. */
    private volatile long stall;

    /** Whether a reading of the clock blocks now. */
    private volatile boolean stalled;

    @Override
    public long millis() {
      long millis = stall;
      if (millis > 0) {
        stall = 0;
        stalled = true;
        sleep(millis);
        stalled = false;
      }
      return Standard.SYSTEM.millis();
    }

    @Override
    public long wallMillis() {
      return Standard.SYSTEM.wallMillis() + ahead;
    }

    /**
     * Sets the wall clock ahead.
     *
     * @param millis how far, in milliseconds
     */
    void setAhead(long millis) {
      ahead = millis;
    }

    /**
     * Blocks the event loop, and returns when it is blocked.
     *
     * @param millis for how long, in milliseconds
     */
    void stall(long millis) {
      stall = millis;
      await(() -> stalled);
    }
  }

  /**
   * Returns the clock of the router.
   *
   * @return the clock
   */
  SteppedClock clock() {
    return clock;
  }

  @Override
  public void close() {
    closer.close();
  }

  /**
   * Starts a target.
   *
   * @param script what it does
   * @return the target
   * @throws IOException when no port can be bound
   */
  ScriptedTarget target(ScriptedTarget.Script script) throws IOException {
    return closer.register(new ScriptedTarget(script));
  }

  /**
   * Sets how long connections of callers may stay idle.
   *
   * @param millis the time in milliseconds
   */
  void setIdleMillis(long millis) {
    idleMillis = millis;
  }

  /**
   * Starts a router with one route.
   *
   * @param kind the kind of the route
   * @param attempts the largest number of targets of a request
   * @param targets the targets
   * @return the router
   */
  Gateway gateway(RouteKind kind, int attempts, ScriptedTarget... targets) {
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
            false);
    RoutingTable table =
        new RoutingTable(
            1,
            List.of(route),
            List.of(new ServicePolicy("s", 0)),
            Map.of("secret", new Organisation("org", OptionalInt.empty())),
            true,
            new IngressLimits(8_192, 65_536, 3_000, idleMillis));
    DirectorySource source =
        new DirectorySource() {
          @Override
          public void start(Directory directory, PeerAddressListener peers) {
            directory.onTable(table);
            for (int i = 0; i < targets.length; i++) {
              TargetRecord record = targets[i].record("t" + i);
              directory.onTarget(record);
            }
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
            10,
            30_000,
            6_000,
            MAX_DELAY_MILLIS,
            DESCRIPTORS);
    Gateway gateway = new Gateway(settings, clock, TestCodec.INSTANCE, (vertx, time) -> source);
    gateway.start();
    return gateway;
  }

  /**
   * Returns a request.
   *
   * @param headers further header lines
   * @return the request, whose connection closes after the answer
   */
  static String request(String headers) {
    return "POST /a/x HTTP/1.1\r\nHost: h\r\nid: r1\r\nkey: secret\r\nConnection: close\r\n"
        + headers
        + "Content-Length: 2\r\n\r\nhi";
  }

  /**
   * Sends a request and reads until the connection closes.
   *
   * @param gateway the router
   * @param request the request
   * @return the answer
   * @throws IOException when the connection fails
   */
  static String call(Gateway gateway, String request) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", gateway.port())) {
      socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(LIMIT_SECONDS));
      ScriptedTarget.write(socket, request);
      ByteArrayOutputStream answer = new ByteArrayOutputStream();
      socket.getInputStream().transferTo(answer);
      return answer.toString(StandardCharsets.ISO_8859_1);
    }
  }

  /**
   * Returns a chunk of a body.
   *
   * @param text the text
   * @return the chunk
   */
  static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /**
   * Waits for a condition.
   *
   * @param condition the condition
   */
  static void await(java.util.function.BooleanSupplier condition) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
    while (!condition.getAsBoolean() && System.nanoTime() < end) {
      sleep(10);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  /**
   * Sleeps.
   *
   * @param millis the time in milliseconds
   */
  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.MultiMap;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.almondslip.directory.Directory;
import org.almondslip.directory.RouteKind;
import org.almondslip.directory.RoutingTable;
import org.almondslip.directory.TargetRecord;
import org.almondslip.residency.AllowedRegions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests of {@link Gateway} with region rules and evacuations, on real connections. */
@Timeout(60)
class ResidencyTest {

  private static final AllowedRegions NORTH = AllowedRegions.of(List.of("north"));

  private static final String COMPLETE =
      "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\nContent-Length: 2\r\n\r\nok";

  private static final String NOT_EXECUTED =
      "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";

  private static final String CHUNKED =
      "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\nTransfer-Encoding: chunked\r\n\r\n";

  private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";

  private static final String SECOND_EVENT = "id: 2\ndata: b\n\n";

  private static final String END_OF_CHUNKS = "0\r\n\r\n";

  private static final int REQUESTS = 8;

  private final GatewayHarness harness = new GatewayHarness();

  @AfterEach
  void close() {
    harness.close();
  }

  /** Guards against a restricted request at a target of another or of an unknown region. */
  @Test
  void restrictedRequestReachesOnlyItsRegion() throws IOException {
    ScriptedTarget north = target(COMPLETE);
    ScriptedTarget south = target(COMPLETE);
    ScriptedTarget unknown = target(COMPLETE);
    Gateway gateway =
        harness.gateway(
            table(1, NORTH),
            TestHeaderCodec.INSTANCE,
            List.of(
                north.record("n", "n-a", "north"),
                // The other targets are in the data centre of the router, which is preferred.
                south.record("s", "dc", "south"),
                unknown.record("u", "dc", "")));
    for (int i = 0; i < REQUESTS; i++) {
      assertThat(send(gateway)).startsWith("HTTP/1.1 200");
    }
    assertThat(north.requests()).hasSize(REQUESTS);
    assertThat(south.connections() + unknown.connections()).isZero();
  }

  /** Guards against a restriction that begins to bind later than its routing table. */
  @Test
  void refusesAtOnceWhenNoTargetIsAllowed() throws IOException {
    ScriptedTarget south = target(COMPLETE);
    Gateway gateway =
        harness.gateway(
            table(1, AllowedRegions.ANY),
            TestHeaderCodec.INSTANCE,
            List.of(south.record("s", "dc", "south")));
    assertThat(send(gateway)).startsWith("HTTP/1.1 200");
    harness.updateDirectory(directory -> directory.onTable(table(2, NORTH)));
    String response = send(gateway);
    assertThat(response).startsWith("HTTP/1.1 503").contains("no-target", "no_target (region)");
    assertThat(response).contains("Retry-After");
    assertThat(south.requests()).hasSize(1);
  }

  /** Guards against requests to evacuated targets, and against targets that stay unused after. */
  @Test
  void evacuatedTargetReceivesNothingUntilItIsTakenBack() throws IOException {
    ScriptedTarget near = target(COMPLETE);
    ScriptedTarget far = target(COMPLETE);
    Gateway gateway =
        harness.gateway(
            table(1, AllowedRegions.ANY),
            TestHeaderCodec.INSTANCE,
            List.of(near.record("a", "dc", "north"), far.record("b", "other", "north")));
    assertThat(send(gateway)).startsWith("HTTP/1.1 200");
    assertThat(near.requests()).hasSize(1);
    harness.updateDirectory(directory -> directory.onEvacuation("dc", true, 2));
    for (int i = 0; i < REQUESTS; i++) {
      assertThat(send(gateway)).startsWith("HTTP/1.1 200");
    }
    assertThat(near.requests()).hasSize(1);
    harness.updateDirectory(directory -> directory.onEvacuation("other", true, 3));
    assertThat(send(gateway)).startsWith("HTTP/1.1 503").contains("no_target (evacuation)");
    harness.updateDirectory(directory -> directory.onEvacuationsListed(Set.of(), 4));
    assertThat(send(gateway)).startsWith("HTTP/1.1 200");
    assertThat(near.requests()).hasSize(2);
  }

  /** Guards against a target that appears, or returns, during an evacuation and is used. */
  @Test
  void targetThatAppearsDuringEvacuationReceivesNothing() throws IOException {
    ScriptedTarget returning = target(COMPLETE);
    ScriptedTarget appearing = target(COMPLETE);
    Gateway gateway =
        harness.gateway(
            table(1, AllowedRegions.ANY),
            TestHeaderCodec.INSTANCE,
            List.of(returning.record("a", "dc", "north")));
    assertThat(send(gateway)).startsWith("HTTP/1.1 200");
    harness.updateDirectory(
        directory -> {
          directory.onRemoved("a", 2);
          directory.onEvacuation("dc", true, 3);
          directory.onTarget(later(returning.record("a", "dc", "north"), 4));
          directory.onTarget(later(appearing.record("b", "dc", "north"), 5));
        });
    assertThat(send(gateway)).startsWith("HTTP/1.1 503").contains("no_target (evacuation)");
    assertThat(returning.requests()).hasSize(1);
    assertThat(appearing.requests()).isEmpty();
  }

  /** Guards against a request that is sent although the evacuation came while it connected. */
  @Test
  void withholdsRequestAfterConnectionWhenEvacuated() throws IOException {
    withholdsRequestAfterConnection(directory -> directory.onEvacuation("dc", true, 2));
  }

  /** Guards against a request that is sent although its regions changed while it connected. */
  @Test
  void withholdsRequestAfterConnectionWhenRegionsAreNarrowed() throws IOException {
    withholdsRequestAfterConnection(directory -> directory.onTable(table(2, NORTH)));
  }

  private void withholdsRequestAfterConnection(Consumer<Directory> change) throws IOException {
    ScriptedTarget near = target(COMPLETE);
    ScriptedTarget other = target(COMPLETE);
    Directory[] latest = new Directory[1];
    AtomicInteger sends = new AtomicInteger();
    HeaderCodec changing =
        new DelegatingCodec(
            () -> {
              // Runs on the event loop, after the connection was established.
              if (sends.getAndIncrement() == 0) {
                change.accept(latest[0]);
              }
            });
    Gateway gateway =
        harness.gateway(
            table(1, AllowedRegions.ANY),
            changing,
            List.of(near.record("a", "dc", "south"), other.record("b", "other", "north")));
    harness.updateDirectory(directory -> latest[0] = directory);
    assertThat(send(gateway)).startsWith("HTTP/1.1 200");
    // The target has then read all that the router wrote.
    GatewayHarness.await(() -> near.closedConnections() == 1);
    assertThat(near.requests()).isEmpty();
    assertThat(other.requests()).hasSize(1);
  }

  /** Guards against a withheld request that waits or is reported as possibly run. */
  @Test
  void refusesWithheldRequestWithoutOtherTarget() throws IOException {
    ScriptedTarget near = target(COMPLETE);
    Directory[] latest = new Directory[1];
    Gateway gateway =
        harness.gateway(
            table(1, AllowedRegions.ANY),
            new DelegatingCodec(() -> latest[0].onEvacuation("dc", true, 2)),
            List.of(near.record("a", "dc", "south")));
    harness.updateDirectory(directory -> latest[0] = directory);
    assertThat(send(gateway)).startsWith("HTTP/1.1 503").contains("no_target", "Retry-After");
    GatewayHarness.await(() -> near.closedConnections() == 1);
    assertThat(near.requests()).isEmpty();
  }

  /** Guards against a body that leaves the region which was allowed when its headers arrived. */
  @Test
  void ruleThatEndsWhileTheBodyArrivesBinds() throws IOException {
    ScriptedTarget south = target(COMPLETE);
    Gateway gateway =
        harness.gateway(
            table(1, NORTH), TestHeaderCodec.INSTANCE, List.of(south.record("s", "dc", "south")));
    String request = GatewayHarness.request("Expect: 100-continue\r\n");
    try (Socket socket = new Socket("127.0.0.1", gateway.port())) {
      int head = request.length() - 2;
      ScriptedTarget.write(socket, request.substring(0, head));
      // The router has read the headers once it asks for the body.
      assertThat(socket.getInputStream().read()).isEqualTo('H');
      harness.updateDirectory(directory -> directory.onTable(table(2, AllowedRegions.ANY)));
      ScriptedTarget.write(socket, request.substring(head));
      assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1))
          .contains("503", "no_target (region)");
    }
    assertThat(south.connections()).isZero();
  }

  /** Guards against a retry in a data centre that is evacuated, or in another region. */
  @Test
  void retryObeysEvacuationAndRegions() throws IOException {
    ScriptedTarget first =
        harness.target(
            (number, socket) -> {
              harness.updateDirectory(directory -> directory.onEvacuation("other", true, 2));
              ScriptedTarget.write(socket, NOT_EXECUTED);
            });
    ScriptedTarget evacuated = target(COMPLETE);
    ScriptedTarget south = target(COMPLETE);
    Gateway gateway =
        harness.gateway(
            table(1, NORTH),
            TestHeaderCodec.INSTANCE,
            List.of(
                first.record("a", "dc", "north"),
                evacuated.record("b", "other", "north"),
                south.record("c", "third", "south")));
    assertThat(send(gateway)).startsWith("HTTP/1.1 503").contains("no_target (evacuation)");
    assertThat(first.requests()).hasSize(1);
    assertThat(evacuated.connections() + south.connections()).isZero();
  }

  /** Guards against a retry that waits for a target of another region until its deadline. */
  @Test
  void requestIsNotRetriedWithoutAnotherAllowedTarget() throws IOException {
    ScriptedTarget north = target(NOT_EXECUTED);
    ScriptedTarget south = target(COMPLETE);
    Gateway gateway =
        harness.gateway(
            table(1, NORTH),
            TestHeaderCodec.INSTANCE,
            List.of(north.record("n", "dc", "north"), south.record("s", "other", "south")));
    assertThat(send(gateway))
        .startsWith("HTTP/1.1 503")
        .contains("the target did not run the request", "Retry-After");
    assertThat(south.connections()).isZero();
  }

  /** Guards against a stream that continues in a data centre evacuated since it began. */
  @Test
  void resumedStreamObeysEvacuationAndRegions() throws IOException {
    ScriptedTarget first =
        harness.target(
            (number, socket) -> {
              ScriptedTarget.write(socket, CHUNKED + GatewayHarness.chunk(FIRST_EVENT));
              harness.updateDirectory(directory -> directory.onEvacuation("other", true, 2));
              socket.close();
            });
    ScriptedTarget evacuated = target(CHUNKED + END_OF_CHUNKS);
    ScriptedTarget south = target(CHUNKED + END_OF_CHUNKS);
    ScriptedTarget north = target(CHUNKED + GatewayHarness.chunk(SECOND_EVENT) + END_OF_CHUNKS);
    Gateway gateway =
        harness.gateway(
            harness.table(1, RouteKind.RESUMABLE_STREAMING, 3, AllowedRegions.ANY, NORTH),
            TestHeaderCodec.INSTANCE,
            List.of(
                first.record("a", "dc", "north"),
                evacuated.record("b", "other", "north"),
                south.record("c", "third", "south"),
                north.record("d", "fourth", "north")));
    // The router prefers its own data centre, so the first target begins the stream.
    assertThat(send(gateway)).contains(FIRST_EVENT, SECOND_EVENT).endsWith(END_OF_CHUNKS);
    assertThat(first.requests()).hasSize(1);
    assertThat(north.requests()).hasSize(1);
    assertThat(evacuated.connections() + south.connections()).isZero();
  }

  /** Guards against a running request that is cut off by the evacuation of its data centre. */
  @Test
  void runningRequestCompletesDuringEvacuation() throws IOException {
    ScriptedTarget target =
        harness.target(
            (number, socket) -> {
              ScriptedTarget.write(socket, CHUNKED + GatewayHarness.chunk(FIRST_EVENT));
              harness.updateDirectory(directory -> directory.onEvacuation("dc", true, 2));
              ScriptedTarget.write(socket, GatewayHarness.chunk(SECOND_EVENT) + END_OF_CHUNKS);
            });
    Gateway gateway =
        harness.gateway(
            harness.table(1, RouteKind.STREAMING, 1, AllowedRegions.ANY, AllowedRegions.ANY),
            TestHeaderCodec.INSTANCE,
            List.of(target.record("a", "dc", "north")));
    assertThat(send(gateway)).contains(FIRST_EVENT, SECOND_EVENT).endsWith(END_OF_CHUNKS);
  }

  /** Header codec that runs a task whenever the headers for a target are written. */
  private record DelegatingCodec(Runnable beforeSend) implements HeaderCodec {

    @Override
    public RequestHeaders readRequest(MultiMap headers) {
      return TestHeaderCodec.INSTANCE.readRequest(headers);
    }

    @Override
    public boolean isForwarded(String name) {
      return TestHeaderCodec.INSTANCE.isForwarded(name);
    }

    @Override
    public void writeTargetRequest(MultiMap headers, TargetRequestHeaders values) {
      TestHeaderCodec.INSTANCE.writeTargetRequest(headers, values);
      beforeSend.run();
    }

    @Override
    public ResponseHeaders readResponse(MultiMap headers) {
      return TestHeaderCodec.INSTANCE.readResponse(headers);
    }
  }

  private RoutingTable table(long version, AllowedRegions regions) {
    return harness.table(version, RouteKind.IDEMPOTENT, 2, regions, AllowedRegions.ANY);
  }

  private static TargetRecord later(TargetRecord record, long revision) {
    return new TargetRecord(
        record.id(),
        record.service(),
        record.host(),
        record.port(),
        record.dataCentre(),
        record.region(),
        record.slots(),
        record.state(),
        record.startMillis(),
        record.coldMillis(),
        revision);
  }

  private ScriptedTarget target(String response) throws IOException {
    return harness.target((number, socket) -> ScriptedTarget.write(socket, response));
  }

  private static String send(Gateway gateway) throws IOException {
    return GatewayHarness.send(gateway, GatewayHarness.request(""));
  }
}

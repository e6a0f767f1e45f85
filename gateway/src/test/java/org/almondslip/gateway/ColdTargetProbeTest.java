package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.almondslip.directory.IngressLimits;
import org.almondslip.directory.RoutingTable;
import org.almondslip.directory.ServicePolicy;
import org.almondslip.directory.TargetRecord;
import org.almondslip.dispatch.DispatchLimits;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.pace.FleetPace;
import org.almondslip.pace.PaceListener;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.Placement;
import org.almondslip.placement.TargetLoad;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests {@link ColdTargetProbe} with targets on loopback connections. */
class ColdTargetProbeTest {

  private static final long COLD_MILLIS = 60_000;

  /** Time in which a check would have been sent, in milliseconds. */
  private static final long WAIT_MILLIS = 300;

  private final Vertx vertx = Vertx.vertx();

  private final GatewayHarness harness = new GatewayHarness();

  private final Clock clock = Clock.Standard.SYSTEM;

  private final FleetPace pace = new FleetPace("a", 1.5, 5, PaceListener.NoOp.INSTANCE);

  private final Dispatcher dispatcher =
      new Dispatcher(
          clock,
          new Placement("dc", EngineModel.DEFAULT),
          EngineModel.DEFAULT,
          DispatchLimits.DEFAULT);

  private final ColdTargetProbe probe =
      new ColdTargetProbe(
          vertx,
          clock,
          dispatcher,
          new TargetConnectionPool(vertx, clock),
          TestHeaderCodec.INSTANCE);

  ColdTargetProbeTest() {
    pace.onTable(
        new RoutingTable(
            1,
            List.of(),
            List.of(new ServicePolicy("s", 0, COLD_MILLIS, 10, "/health")),
            Map.of(),
            false,
            new IngressLimits(8_192, 65_536, 3_000, 15_000)));
  }

  @AfterEach
  void close() {
    harness.close();
    vertx.close();
  }

  /** Guards against a healthy target that stays cold for the whole configured time. */
  @Test
  void targetIsWarmWhenItsHealthResponseSaysSo() throws IOException {
    TargetLoad target = start("a", "target: t\r\ncold: 0\r\n");
    GatewayHarness.await(() -> !target.pace().isCold(clock.millis()));
    assertThat(probe.outcomes()).containsKey(ProbeOutcome.WARM);
  }

  /** Guards against more than one check a second, for each of which the platform charges. */
  @Test
  void coldTargetIsCheckedOncePerSecond() throws IOException {
    List<Long> checks = new CopyOnWriteArrayList<>();
    ScriptedTarget scripted =
        harness.target(
            (number, socket) -> {
              checks.add(clock.millis());
              respond("cold: 50000\r\n").respond(number, socket);
            });
    long startedAt = clock.millis();
    add("a", scripted);
    GatewayHarness.await(() -> checks.size() >= 3);
    assertThat(checks.get(2) - startedAt).isGreaterThanOrEqualTo(2_000);
    assertThat(scripted.requests()).allMatch(head -> head.startsWith("get /health "));
  }

  /** Guards against believing another instance that has taken over the address. */
  @Test
  void responseOfAnotherInstanceIsIgnored() throws IOException {
    TargetLoad target = start("a", "target: other\r\ncold: 0\r\n");
    GatewayHarness.await(() -> probe.outcomes().containsKey(ProbeOutcome.OTHER_INSTANCE));
    assertThat(target.pace().isCold(clock.millis())).isTrue();
  }

  /** Guards against 410 routers that all check a cold target. */
  @Test
  void routersThatAreNotSelectedDoNotCheck() throws IOException {
    ScriptedTarget scripted = harness.target(respond("cold: 0\r\n"));
    add("b", scripted);
    GatewayHarness.sleep(WAIT_MILLIS);
    assertThat(scripted.connections()).isZero();
  }

  /** Guards against a check that never ends, or that counts as a statement of the target. */
  @Test
  void targetWithoutResponseStaysCold() throws IOException {
    ScriptedTarget scripted = harness.target((number, socket) -> {});
    TargetLoad target = add("a", scripted);
    GatewayHarness.await(() -> probe.outcomes().containsKey(ProbeOutcome.TIMEOUT));
    assertThat(target.pace().isCold(clock.millis())).isTrue();
    GatewayHarness.await(() -> scripted.closedConnections() > 0);
  }

  /** Guards against a statement of a target whose response is not HTTP. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 Trouble\r\ntarget: t\r\ncold: 0\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntarget: t\r\ncold : 0\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntarget: t\r\ncold x: 0\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntarget: t\r\ncold: 0\r\na\u0001: b\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 102 Wait\r\ntarget: t\r\ncold: 0\r\n\r\nHTTP/1.1 000 No\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntarget: t\r\ncold: 0\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n"
      })
  void invalidResponseSaysNothing(String response) throws IOException {
    TargetLoad target =
        add("a", harness.target((number, socket) -> ScriptedTarget.write(socket, response)));
    GatewayHarness.await(() -> probe.outcomes().containsKey(ProbeOutcome.INVALID_RESPONSE));
    assertThat(target.pace().isCold(clock.millis())).isTrue();
    assertThat(probe.outcomes()).doesNotContainKey(ProbeOutcome.WARM);
  }

  /** Guards against a statement of a target that breaks off its response. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "\r\n",
        "\r\npart",
        "Content-Length: 5\r\n\r\npart",
        "Transfer-Encoding: chunked\r\n\r\n"
      })
  void brokenResponseSaysNothing(String rest) throws IOException {
    String head = "HTTP/1.1 200 OK\r\ntarget: t\r\ncold: 0\r\n";
    TargetLoad target =
        add(
            "a",
            harness.target(
                (number, socket) -> {
                  ScriptedTarget.write(socket, head + rest);
                  GatewayHarness.sleep(WAIT_MILLIS);
                  socket.setSoLinger(true, 0);
                  socket.close();
                }));
    GatewayHarness.await(() -> probe.outcomes().containsKey(ProbeOutcome.NOT_CONNECTED));
    assertThat(target.pace().isCold(clock.millis())).isTrue();
    assertThat(probe.outcomes()).doesNotContainKey(ProbeOutcome.WARM);
  }

  /** Guards against a sound statement that is lost since its body ends with the connection. */
  @Test
  void closeDelimitedResponseIsStatement() throws IOException {
    String response = "HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 200 OK\r\ntarget: t\r\ncold: 0\r\n\r\nok";
    TargetLoad target =
        add(
            "a",
            harness.target(
                (number, socket) -> {
                  ScriptedTarget.write(socket, response);
                  socket.close();
                }));
    GatewayHarness.await(() -> !target.pace().isCold(clock.millis()));
  }

  private TargetLoad start(String router, String headers) throws IOException {
    return add(router, harness.target(respond(headers)));
  }

  private static ScriptedTarget.Script respond(String headers) {
    return (number, socket) ->
        ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 0\r\n\r\n");
  }

  /** Adds a cold target to a router and starts the checks. */
  private TargetLoad add(String router, ScriptedTarget scripted) {
    TargetRecord record = scripted.record("t");
    pace.onRouters(Set.of(router), 0);
    TargetLoad target = new TargetLoad(record, 0, pace.create(record, true, clock.millis()));
    dispatcher.add(target);
    vertx.runOnContext(ignored -> vertx.setPeriodic(20, id -> probe.tick()));
    return target;
  }
}

package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.almondslip.directory.RouteKind;
import org.almondslip.placement.TargetSpeed;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests of {@link Gateway} with targets that ask for no further requests. */
@Timeout(60)
class TargetNoticeTest {

  private static final String COMPLETE =
      "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\nContent-Length: 2\r\n\r\nok";

  private static final String NOT_EXECUTED =
      "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";

  private static final int REQUESTS = 10;

  private final GatewayHarness harness = new GatewayHarness();

  @AfterEach
  void close() {
    harness.close();
  }

  /** Guards against requests to a target that says in a response that it is leaving. */
  @Test
  void leavingTargetReceivesNoFurtherRequest() throws IOException {
    ScriptedTarget leaving = target(with(COMPLETE, "leaving: 1"));
    ScriptedTarget other = target(COMPLETE);
    Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 1, leaving, other);
    while (leaving.requests().isEmpty()) {
      assertThat(send(gateway)).startsWith("HTTP/1.1 200");
    }
    for (int i = 0; i < REQUESTS; i++) {
      assertThat(send(gateway)).startsWith("HTTP/1.1 200");
    }
    assertThat(leaving.requests()).hasSize(1);
  }

  /** Guards against a notice in a refusal or an error that is not noticed. */
  @Test
  void noticesThatTargetIsLeavingInAnyResponse() throws IOException {
    String error = COMPLETE.replace("200 OK", "500 Error");
    for (String response : new String[] {NOT_EXECUTED, error}) {
      ScriptedTarget leaving = target(with(response, "leaving: 1"));
      Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 1, leaving);
      send(gateway);
      assertThat(send(gateway)).startsWith("HTTP/1.1 503").contains("no-target");
      assertThat(leaving.requests()).hasSize(1);
    }
  }

  /** Guards against requests to a target that has asked for a pause. */
  @Test
  void pausedTargetReceivesNoRequestUntilPauseEnds() throws IOException {
    ScriptedTarget paused = target(with(NOT_EXECUTED, "Retry-After: 30"));
    ScriptedTarget other = target(COMPLETE);
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 2, paused, other);
    while (paused.requests().isEmpty()) {
      assertThat(send(gateway)).startsWith("HTTP/1.1 200");
    }
    for (int i = 0; i < REQUESTS; i++) {
      assertThat(send(gateway)).startsWith("HTTP/1.1 200");
    }
    assertThat(paused.requests()).hasSize(1);
  }

  /** Guards against a request that waits although no target accepts it in time. */
  @Test
  void refusesAtOnceAndUntilEndOfPauseWhenAllTargetsPause() throws IOException {
    ScriptedTarget paused = target(with(NOT_EXECUTED, "Retry-After: 30"));
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 2, paused);
    send(gateway);
    String response = send(gateway);
    assertThat(response).startsWith("HTTP/1.1 503").contains("0 requests wait");
    assertThat(response).containsPattern("Retry-After: (29|30)\\.");
    assertThat(paused.requests()).hasSize(1);
  }

  /** Guards against a target that is never used again after a pause. */
  @Test
  void targetIsUsedAgainAfterPause() throws IOException {
    ScriptedTarget target =
        harness.target(
            (number, socket) ->
                ScriptedTarget.write(
                    socket, number == 0 ? with(NOT_EXECUTED, "Retry-After: 1") : COMPLETE));
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 1, target);
    assertThat(send(gateway)).startsWith("HTTP/1.1 503");
    // The request waits for the end of the pause, which is within its objective.
    assertThat(send(gateway)).startsWith("HTTP/1.1 200");
    assertThat(target.requests()).hasSize(2);
  }

  /** Guards against loads and response times that do not reach the speed of the target. */
  @Test
  void completeResponsesCountForTheSpeed() throws IOException {
    ScriptedTarget target = target(with(COMPLETE, "load: 1,0,8,250"));
    Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 1, target);
    send(gateway);
    send(gateway);
    assertThat(speed(gateway).reportedSamples()).isEqualTo(2);
    assertThat(gateway.dispatcher().speeds())
        .singleElement()
        .satisfies(speed -> assertThat(speed.workPercent()).isBetween(101, 250));
  }

  /** Guards against a target that cuts off its responses early and is preferred as fast. */
  @Test
  void abortedResponsesDoNotCountForTheSpeed() throws IOException {
    ScriptedTarget target =
        harness.target(
            (number, socket) -> {
              String head = with(COMPLETE, "load: 1,0,8,100");
              ScriptedTarget.write(socket, head.replace("Length: 2", "Length: 9"));
              socket.close();
            });
    Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 1, target);
    assertThat(send(gateway)).startsWith("HTTP/1.1 502");
    assertThat(gateway.dispatcher().speeds()).hasSize(1);
    assertThat(speed(gateway).reportedSamples()).isZero();
  }

  /** Guards against the load of a late copy of an earlier response, and against absurd loads. */
  @Test
  void loadOfAnotherResponseAndAbsurdLoadAreIgnored() throws IOException {
    String other = with(COMPLETE, "load: 1,0,8,900").replace("id: r1", "id: r0");
    ScriptedTarget target =
        harness.target(
            (number, socket) ->
                ScriptedTarget.write(
                    socket, number == 0 ? with(COMPLETE, "load: 1,0,8,20000") : other));
    Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 1, target);
    send(gateway);
    send(gateway);
    assertThat(gateway.dispatcher().speeds()).isEmpty();
    assertThat(speed(gateway).service().ignoredFigures()).isEqualTo(1);
  }

  private static TargetSpeed speed(Gateway gateway) {
    return gateway.dispatcher().targets().get(0).speed();
  }

  private ScriptedTarget target(String response) throws IOException {
    return harness.target((number, socket) -> ScriptedTarget.write(socket, response));
  }

  private static String send(Gateway gateway) throws IOException {
    return GatewayHarness.send(gateway, GatewayHarness.request(""));
  }

  /** Returns a response with an additional header line. */
  private static String with(String response, String header) {
    return response.replace("id: r1\r\n", "id: r1\r\n" + header + "\r\n");
  }
}

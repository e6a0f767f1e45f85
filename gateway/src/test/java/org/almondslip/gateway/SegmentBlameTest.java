package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.Arrays;
import org.almondslip.directory.RouteKind;
import org.almondslip.quarantine.SegmentQuarantine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests of {@link Gateway} with targets that a prompt segment crashes, or that lose responses. */
@Timeout(60)
class SegmentBlameTest {

  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\nTransfer-Encoding: chunked\r\n\r\n";

  private static final int TARGETS = SegmentQuarantine.CRASH_THRESHOLD + 2;

  /** Time between two requests, in which a verdict on the previous crashes is passed. */
  private static final long INTERVAL_MILLIS = SegmentQuarantine.SETTLING_MILLIS + 400;

  private static final long EVENT_INTERVAL_MILLIS = 20;

  private final GatewayHarness harness = new GatewayHarness();

  private int requests;

  /** How far a response comes before its target crashes. */
  enum CrashPoint {
    BEFORE_FIRST_BYTE,
    WITHIN_HEAD(HEAD.substring(0, 25)),
    AFTER_HEAD(HEAD),
    AFTER_FIRST_EVENT(HEAD, event(1)),
    AFTER_THIRD_EVENT(HEAD, event(1), event(2), event(3));

    private final String[] parts;

    CrashPoint(String... parts) {
      this.parts = parts;
    }

    private void write(Socket socket) throws IOException {
      for (String part : parts) {
        ScriptedTarget.write(socket, part);
        GatewayHarness.sleep(EVENT_INTERVAL_MILLIS);
      }
    }
  }

  @AfterEach
  void close() {
    harness.close();
  }

  /**
   * Guards against a segment that crashes one target after the other at any point of a response.
   */
  @ParameterizedTest
  @EnumSource(CrashPoint.class)
  void quarantinesSegmentThatCrashesTargets(CrashPoint point) throws IOException {
    ScriptedTarget[] targets = new ScriptedTarget[TARGETS];
    for (int i = 0; i < targets.length; i++) {
      int index = i;
      targets[i] =
          harness.target(
              (number, socket) -> {
                point.write(socket);
                targets[index].close();
              });
    }
    Gateway gateway = harness.gateway(RouteKind.STREAMING, 1, targets);
    for (int i = 0; i < TARGETS; i++) {
      send(gateway);
    }
    assertThat(send(gateway)).contains("prompt-quarantined");
    long crashed = Arrays.stream(targets).filter(target -> !target.requests().isEmpty()).count();
    assertThat(crashed).isEqualTo(SegmentQuarantine.CRASH_THRESHOLD);
  }

  /** Guards against blame for a segment while targets close connections but do not crash. */
  @ParameterizedTest
  @EnumSource(
      value = CrashPoint.class,
      names = {"BEFORE_FIRST_BYTE", "WITHIN_HEAD"})
  void lostResponsesBlameNoSegment(CrashPoint point) throws IOException {
    ScriptedTarget[] targets = new ScriptedTarget[TARGETS];
    for (int i = 0; i < targets.length; i++) {
      targets[i] =
          harness.target(
              (number, socket) -> {
                point.write(socket);
                socket.close();
              });
    }
    Gateway gateway = harness.gateway(RouteKind.STREAMING, 1, targets);
    for (int i = 0; i < TARGETS; i++) {
      assertThat(send(gateway)).doesNotContain("prompt-quarantined");
    }
  }

  /** Guards against blame for segments of streams that end at once, as when they are resumed. */
  @Test
  void emptyStreamsBlameNoSegment() throws IOException {
    ScriptedTarget[] targets = new ScriptedTarget[TARGETS];
    for (int i = 0; i < targets.length; i++) {
      int index = i;
      targets[i] =
          harness.target(
              (number, socket) -> {
                ScriptedTarget.write(socket, HEAD + "0\r\n\r\n");
                // The next request goes to another target.
                GatewayHarness.sleep(INTERVAL_MILLIS / 2);
                targets[index].close();
              });
    }
    Gateway gateway = harness.gateway(RouteKind.STREAMING, 1, targets);
    for (int i = 0; i < TARGETS; i++) {
      assertThat(send(gateway)).doesNotContain("prompt-quarantined");
    }
  }

  private static String event(int number) {
    return GatewayHarness.chunk("id: " + number + "\ndata: a\n\n");
  }

  /** Sends a request whose last segment and body are its own, and waits for a verdict. */
  private String send(Gateway gateway) throws IOException {
    int number = requests++;
    String request =
        GatewayHarness.request("segments: 1," + (100 + number) + "\r\n")
            .replace("/a/x", "/a/" + number);
    String response = GatewayHarness.send(gateway, request);
    GatewayHarness.sleep(INTERVAL_MILLIS);
    return response;
  }
}

package org.almondslip.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.almondslip.protocol.wire.Answer;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Ran;
import org.almondslip.standins.ScriptedServer;
import org.almondslip.standins.ScriptedServer.Ending;
import org.almondslip.standins.ScriptedServer.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests an agent whose target sends responses that are broken or not HTTP. */
@Timeout(120)
class InvalidTargetResponseTest {

  private static final String LENGTH = "Content-Length: 13\r\n\r\n";

  /** Body of all responses, which is a valid load report. */
  private static final String BODY = "{\"running\":1}";

  private static final Response SOUND =
      new Response("HTTP/1.1 200 OK\r\n" + LENGTH + BODY, Ending.CLOSE);

  /** Number of load reports after which the agent would have become healthy. */
  private static final int PROBES = 3;

  private final AgentFixture fixture = new AgentFixture();

  /** Response to all requests but those for the load report. */
  private final AtomicReference<Response> answer = new AtomicReference<>(SOUND);

  private final AtomicReference<Response> load = new AtomicReference<>(SOUND);

  private final ScriptedServer target =
      fixture
          .closer()
          .register(
              new ScriptedServer(
                  head -> head.startsWith("GET /load ") ? load.get() : answer.get()));

  @AfterEach
  void close() {
    fixture.close();
  }

  /** Returns responses of which no part may look like a whole answer. */
  static Stream<Response> brokenResponses() {
    return Stream.concat(
        Stream.of(
                "HTTP/1.1 000 Trouble\r\n" + LENGTH + BODY,
                "HTTP/1.1 600 Trouble\r\n" + LENGTH + BODY,
                "HTTP/1.1 200 OK\r\na b: c\r\n" + LENGTH + BODY,
                "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n" + LENGTH + BODY,
                "HTTP/1.1 200 OK\r\na\u0001: c\r\n" + LENGTH + BODY,
                "HTTP/1.1 200 OK\r\na: \u0001\r\n" + LENGTH + BODY,
                "HTTP/1.1 103 Hints\r\na b: c\r\n\r\n" + SOUND.bytes())
            .map(bytes -> new Response(bytes, Ending.CLOSE)),
        Stream.of(new Response("HTTP/1.1 200 OK\r\n\r\n" + BODY, Ending.RESET)));
  }

  /** Guards against an answer that a router gets although the target has sent none. */
  @ParameterizedTest
  @MethodSource("brokenResponses")
  void brokenResponseIsNoAnswer(Response broken) throws Exception {
    Agent agent = fixture.startAgent(AgentFixture.NO_PLATFORM, target.address());
    TestRouter router = fixture.connect(agent);
    answer.set(broken);
    router.send(AgentFixture.offer(1));
    router.send(AgentFixture.dispatch(router.await(Frame::hasGrant).getGrant(), 1, "/x"));
    Answer part = router.await(Frame::hasAnswer).getAnswer();
    while (!part.hasEnd()) {
      part = router.await(Frame::hasAnswer).getAnswer();
    }
    assertThat(part.getEnd().getComplete()).isFalse();
    assertThat(part.getEnd().getRan()).isEqualTo(Ran.UNKNOWN);
  }

  /** Returns sound responses of each framing. */
  static Stream<Response> soundResponses() {
    return Stream.of(
        SOUND,
        new Response("HTTP/1.1 200 OK\r\nx:\r\n\r\n" + BODY, Ending.CLOSE),
        new Response("HTTP/1.1 102 Wait\r\n\r\n" + SOUND.bytes(), Ending.CLOSE),
        new Response(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nd\r\n" + BODY + "\r\n0\r\n\r\n",
            Ending.CLOSE));
  }

  /** Guards against a sound answer that is lost. */
  @ParameterizedTest
  @MethodSource("soundResponses")
  void soundResponseIsAnswer(Response sound) throws Exception {
    Agent agent = fixture.startAgent(AgentFixture.NO_PLATFORM, target.address());
    TestRouter router = fixture.connect(agent);
    answer.set(sound);
    router.send(AgentFixture.offer(1));
    router.send(AgentFixture.dispatch(router.await(Frame::hasGrant).getGrant(), 1, "/x"));
    Answer part = router.await(Frame::hasAnswer).getAnswer();
    assertThat(part.getHead().getStatus()).isEqualTo(200);
    assertThat(router.awaitAnswer(1)).isEqualTo(BODY.length());
  }

  /** Guards against a target that counts as healthy although it sends no responses. */
  @Test
  void invalidLoadReportIsNoSignOfHealth() throws Exception {
    load.set(new Response("HTTP/1.1 000 Trouble\r\n" + LENGTH + BODY, Ending.CLOSE));
    Agent agent = fixture.startAgent(AgentFixture.NO_PLATFORM, target.address());
    TestRouter router = fixture.newRouter();
    router.dial(agent.innerAddress());
    while (target.requests() < PROBES) {
      assertThat(router.await(Frame::hasHeartbeat).getHeartbeat().getAgent().getHealthy())
          .isFalse();
    }
    load.set(SOUND);
    router.await(frame -> frame.getHeartbeat().getAgent().getHealthy());
  }
}

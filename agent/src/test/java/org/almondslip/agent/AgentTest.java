package org.almondslip.agent;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.TimeUnit;
import org.almondslip.protocol.wire.Answer;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Grant;
import org.almondslip.protocol.wire.Ran;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards a whole agent, with real connections, against lost answers and false reports. */
class AgentTest {

  private final AgentFixture fixture = new AgentFixture();

  @AfterEach
  void close() {
    fixture.close();
  }

  @Test
  void streamsAnswerOfTarget() throws Exception {
    Agent agent = fixture.startAgent(AgentFixture.NO_PLATFORM);
    TestRouter router = fixture.connect(agent);
    router.send(AgentFixture.offer(1));
    Grant grant = router.await(Frame::hasGrant).getGrant();
    router.send(AgentFixture.dispatch(grant, 1, "/echo"));
    ByteString body = ByteString.EMPTY;
    Answer part = router.await(Frame::hasAnswer).getAnswer();
    assertThat(part.getHead().getStatus()).isEqualTo(200);
    while (!part.hasEnd()) {
      part = router.await(Frame::hasAnswer).getAnswer();
      body = body.concat(part.getData());
    }
    assertThat(body.toStringUtf8()).isEqualTo("hello");
    assertThat(part.getEnd().getComplete()).isTrue();
    assertThat(metrics(agent)).contains("almondslip_agent_requests_total{outcome=\"completed\"} 1");
  }

  @Test
  void reportsResetAsUnknownAndRefusedConnectionAsNotRun() throws Exception {
    Agent agent = fixture.startAgent(AgentFixture.NO_PLATFORM);
    TestRouter router = fixture.connect(agent);
    router.send(AgentFixture.offer(2));
    Grant first = router.await(Frame::hasGrant).getGrant();
    final Grant second = router.await(Frame::hasGrant).getGrant();
    router.send(AgentFixture.dispatch(first, 1, "/reset"));
    assertThat(router.awaitEnd().getRan()).isEqualTo(Ran.UNKNOWN);
    fixture.stopTarget();
    router.send(AgentFixture.dispatch(second, 2, "/echo"));
    assertThat(router.awaitEnd().getRan()).isEqualTo(Ran.NO);
    assertThat(fixture.runs()).isEqualTo(1);
  }

  @Test
  void finishesRunningRequestOnPlannedStop() throws Exception {
    Agent agent = fixture.startAgent(AgentFixture.NO_PLATFORM);
    TestRouter router = fixture.connect(agent);
    router.send(AgentFixture.offer(1));
    router.send(AgentFixture.dispatch(router.await(Frame::hasGrant).getGrant(), 1, "/slow"));
    router.await(Frame::hasAnswer);
    Thread stop = new Thread(agent::drain);
    stop.start();
    router.await(Frame::hasDrain);
    AnswerEnd end = router.awaitEnd();
    assertThat(end.getComplete()).isTrue();
    router.ack(1, 100);
    stop.join(TimeUnit.SECONDS.toMillis(30));
    assertThat(stop.isAlive()).isFalse();
  }

  private static String metrics(Agent agent) throws Exception {
    URI uri = URI.create("http://127.0.0.1:" + agent.operationsPort() + "/metrics");
    HttpRequest request = HttpRequest.newBuilder(uri).build();
    return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString()).body();
  }
}

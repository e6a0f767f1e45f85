package org.almondslip.agent;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.almondslip.protocol.wire.Answer;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Grant;
import org.almondslip.protocol.wire.Ran;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against lost answers and wrong outcomes of an agent with real connections. */
class AgentTest {

  private final AgentFixture fixture = new AgentFixture();

  @AfterEach
  void close() {
    fixture.close();
  }

  /** Guards against a metric that the operators' page does not list, or no longer exists. */
  @Test
  void operationsPageListsEveryMetric() throws Exception {
    Agent agent = fixture.startAgent(AgentFixture.NO_PLATFORM);
    String page = Files.readString(Path.of("..", "docs", "OPERATIONS.md"));
    assertThat(names("(?m)^# TYPE (\\w+) ", metrics(agent)))
        .isEqualTo(names("(?m)^\\| `(almondslip_agent_\\w+)`", page));
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

  private static Set<String> names(String pattern, String text) {
    return Pattern.compile(pattern)
        .matcher(text)
        .results()
        .map(match -> match.group(1))
        .map(name -> name.replaceAll("_total$", ""))
        .collect(Collectors.toCollection(TreeSet::new));
  }
}

package org.almondslip.agent;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.almondslip.error.ErrorCode;
import org.almondslip.membership.DigestTree;
import org.almondslip.membership.Member;
import org.almondslip.platform.PlatformAddresses;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Grant;
import org.almondslip.protocol.wire.Ran;
import org.almondslip.protocol.wire.Role;
import org.almondslip.standins.HttpStandin;
import org.almondslip.standins.platform.InstanceListStandin;
import org.almondslip.standins.platform.ObjectStoreStandin;
import org.almondslip.standins.platform.TableServiceStandin;
import org.almondslip.standins.platform.Tables;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against duplicate execution of orders and agents that do not announce themselves. */
class AgentPlatformTest {

  private final AgentFixture fixture = new AgentFixture();

  private final Tables tables = new Tables();

  private final HttpStandin tableService = standin(new TableServiceStandin(tables));

  private final HttpStandin objects = standin(new ObjectStoreStandin());

  private final HttpStandin instances = standin(new InstanceListStandin(Clock.Standard.SYSTEM, 0));

  private HttpStandin standin(HttpStandin.Service service) {
    HttpStandin standin = new HttpStandin("s", "127.0.0.1:0", fixture.vertx(), service);
    fixture.closer().register(standin).start();
    return standin;
  }

  private PlatformAddresses platform() {
    return new PlatformAddresses(tableService.address(), objects.address(), instances.address());
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  @Test
  void repeatedOrderGetsTheStoredAnswerAndRunsOnce() throws Exception {
    TestRouter router = fixture.connect(fixture.startAgent(platform()));
    assertThat(order(router, 1, "/large")).isEqualTo(AgentFixture.LARGE_BYTES);
    awaitRecord("DONE");
    assertThat(order(router, 2, "/large")).isEqualTo(AgentFixture.LARGE_BYTES);
    assertThat(fixture.runs()).isEqualTo(1);
  }

  @Test
  void orderIsRefusedAsNotRunWhileTheTableServiceIsDown() throws Exception {
    PlatformAddresses down =
        new PlatformAddresses("127.0.0.1:1", objects.address(), instances.address());
    TestRouter router = fixture.connect(fixture.startAgent(down));
    router.send(AgentFixture.offer(1));
    Grant grant = router.await(Frame::hasGrant).getGrant();
    router.send(AgentFixture.order(grant, 1, "/echo", "key"));
    AnswerEnd end = router.awaitEnd();
    assertThat(end.getCode()).isEqualTo(ErrorCode.ORDER_STORE_UNAVAILABLE.label());
    assertThat(end.getRan()).isEqualTo(Ran.NO);
    assertThat(fixture.runs()).isZero();
  }

  @Test
  void announcesItselfToRoutersOfTheInstanceList() throws Exception {
    TestRouter router = fixture.newRouter();
    register("r1", "router", router.listen());
    Agent agent = fixture.startAgent(platform());
    Frame announce = router.await(Frame::hasAnnounce);
    assertThat(announce.getAnnounce().getInnerAddress()).isEqualTo(agent.innerAddress());
    assertThat(announce.getAnnounce().getTarget()).isEqualTo("t1");
  }

  @Test
  void dialsItsParentAndReportsToIt() throws Exception {
    String parent = parentOf("i1");
    TestRouter peer = fixture.newPeer(parent, Role.AGENT);
    register(parent, "agent", peer.listen());
    fixture.startAgent(platform());
    Frame report = peer.await(Frame::hasServiceReport);
    assertThat(report.getServiceReport().getAgents()).isEqualTo(1);
  }

  /** Finds an instance that is the parent of the given one in the digest tree. */
  private static String parentOf(String instance) {
    Member child = member(instance);
    return IntStream.range(0, 100)
        .mapToObj(number -> "a" + number)
        .filter(
            name ->
                DigestTree.of(List.of(child, member(name)))
                    .root("d", any -> true)
                    .filter(name::equals)
                    .isPresent())
        .findFirst()
        .orElseThrow();
  }

  private static Member member(String instance) {
    return new Member(instance, Role.AGENT, "r", "d", "127.0.0.1:1", "", false);
  }

  private int order(TestRouter router, long sequence, String path) throws InterruptedException {
    router.send(AgentFixture.offer(1));
    Grant grant = router.await(Frame::hasGrant).getGrant();
    router.send(AgentFixture.order(grant, sequence, path, "key"));
    return router.awaitAnswer(sequence);
  }

  private void awaitRecord(String state) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (tables.scan("claims", "acme/").stream().noneMatch(row -> row.value().contains(state))) {
      assertThat(System.nanoTime()).isLessThan(deadline);
      Thread.sleep(10);
    }
  }

  private void register(String instance, String role, String address) throws Exception {
    JsonObject entry =
        new JsonObject()
            .put("role", role)
            .put("region", "r")
            .put("data_centre", "d")
            .put("address", address)
            .put("target", "")
            .put("leaving", false);
    URI uri = URI.create("http://" + instances.address() + "/instances/" + instance);
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .PUT(HttpRequest.BodyPublishers.ofString(entry.encode()))
            .build();
    int status =
        HttpClient.newHttpClient()
            .send(request, HttpResponse.BodyHandlers.discarding())
            .statusCode();
    assertThat(status).isEqualTo(200);
  }
}

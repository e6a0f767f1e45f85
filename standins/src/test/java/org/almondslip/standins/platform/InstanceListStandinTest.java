package org.almondslip.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import org.almondslip.membership.Member;
import org.almondslip.membership.Membership;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.platform.HttpInstanceList;
import org.almondslip.protocol.wire.Role;
import org.almondslip.resource.Closer;
import org.almondslip.standins.HttpStandin;
import org.almondslip.store.StoreResult;
import org.almondslip.time.Clock;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the instance list over HTTP together with its client. */
class InstanceListStandinTest {

  /** Lag of the list. */
  private static final long LAG_MILLIS = 2_000;

  /** Entry with another address for one region. */
  private static final String ENTRY =
      "{\"role\":\"agent\",\"region\":\"r1\",\"data_centre\":\"d1\",\"address\":\"127.0.0.1:5\","
          + "\"target\":\"t1\",\"addresses\":{\"r2\":\"127.0.0.2:6\"}}";

  /** Resources of a test. */
  private final Closer closer = new Closer();

  /** Thread of the callbacks. */
  private final DecisionThread thread = closer.register(new DecisionThread());

  /** Clock of the stand-in. */
  private final Clock.Manual clock = new Clock.Manual(0);

  /** Event loop. */
  private final Vertx vertx = Vertx.vertx();

  /** Address of the service. */
  private String address;

  @BeforeEach
  void start() {
    closer.register(() -> vertx.close().toCompletionStage().toCompletableFuture().join());
    InstanceListStandin service = new InstanceListStandin(clock, LAG_MILLIS);
    HttpStandin standin =
        closer.register(new HttpStandin("instances", "127.0.0.1:0", vertx, service));
    standin.start();
    address = standin.address();
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  /** Guards against a relay between regions that is bypassed. */
  @Test
  void addressDependsOnTheAskingRegion() {
    put("a1", ENTRY);
    clock.advance(LAG_MILLIS);
    assertThat(list("r1")).containsExactly(member("127.0.0.1:5"));
    assertThat(list("r2")).containsExactly(member("127.0.0.2:6"));
  }

  /** Guards against experiments without lag, which would hide that announcements are needed. */
  @Test
  void changeIsSeenAfterTheLag() {
    put("a1", ENTRY);
    clock.advance(LAG_MILLIS - 1);
    assertThat(list("r1")).isEmpty();
    clock.advance(1);
    assertThat(list("r1")).hasSize(1);
  }

  /** Guards against a membership that does not understand the answers of the service. */
  @Test
  void membershipLearnsTheInstance() {
    put("a1", ENTRY);
    clock.advance(LAG_MILLIS);
    PeerIdentity self = new PeerIdentity("r", 1, Role.ROUTER, "r1", "d1", "127.0.0.1:9", "");
    HttpInstanceList list = client("r1");
    Membership membership =
        new Membership(self, list, clock, RandomSource.SPLIT_MIX_64.create(1L), m -> {});
    thread.awaitTrue(
        () -> {
          membership.onTick();
          return membership.isUsable("a1");
        });
    assertThat(membership.usable(Role.AGENT)).containsExactly(member("127.0.0.1:5"));
  }

  /**
   * Builds the expected member.
   *
   * @param innerAddress its address
   * @return the member
   */
  private static Member member(String innerAddress) {
    return new Member("a1", Role.AGENT, "r1", "d1", innerAddress, "t1", false);
  }

  /**
   * Reads the list.
   *
   * @param region the region that asks
   * @return the members
   */
  private List<Member> list(String region) {
    HttpInstanceList list = client(region);
    StoreResult<List<Member>> result = thread.await(list::list);
    return ((StoreResult.Success<List<Member>>) result).value();
  }

  /**
   * Creates a client.
   *
   * @param region the region that asks
   * @return the client
   */
  private HttpInstanceList client(String region) {
    return closer.register(new HttpInstanceList(vertx, address, region, 5_000, thread.executor()));
  }

  /**
   * Changes an entry.
   *
   * @param id the instance
   * @param json the entry
   */
  private void put(String id, String json) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/instances/" + id))
            .PUT(HttpRequest.BodyPublishers.ofString(json))
            .build();
    HttpClient.newHttpClient().sendAsync(request, BodyHandlers.discarding()).join();
  }
}

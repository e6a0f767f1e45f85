package org.almondslip.order;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.almondslip.error.ErrorCode;
import org.almondslip.error.Ran;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.order.ClaimResult.Granted;
import org.almondslip.order.ClaimResult.Refused;
import org.almondslip.order.ClaimResult.Replay;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.Role;
import org.almondslip.store.FaultyStore;
import org.almondslip.store.FaultyStore.Fault;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

/** Guards against orders that run twice and against missing or wrong answers to repeated orders. */
class TableClaimsTest {

  private final Clock.Manual clock = new Clock.Manual(1_000);

  private final FaultyStore store = new FaultyStore(() -> Fault.NONE);

  private final ClaimCounters counters = new ClaimCounters();

  private boolean otherAgentEnded;

  private final TableClaims claims = agent("i1", store);

  private TableClaims agent(String instance, FaultyStore faultyStore) {
    PeerIdentity self = new PeerIdentity(instance, 1, Role.AGENT, "r", "d", "", "t");
    return new TableClaims(
        self,
        faultyStore,
        faultyStore,
        (otherInstance, incarnation) -> otherAgentEnded,
        ClaimLimits.DEFAULT,
        clock,
        counters);
  }

  private static Order order(String identity, String fingerprint) {
    return new Order("acme", "key", fingerprint, identity, 60_000);
  }

  private ClaimResult claim(TableClaims agent, String identity, String fingerprint) {
    List<ClaimResult> results = new ArrayList<>();
    agent.claim(order(identity, fingerprint), results::add);
    settle(agent);
    assertThat(results).hasSize(1);
    return results.get(0);
  }

  private void settle(TableClaims agent) {
    for (int i = 0; i < 30; i++) {
      store.drain();
      clock.advance(100);
      agent.onTick();
    }
  }

  private static Optional<StoredAnswer> answer(int size) {
    ByteString body = ByteString.copyFrom(new byte[size]);
    return Optional.of(new StoredAnswer(AnswerHead.newBuilder().setStatus(201).build(), body));
  }

  @Test
  void replaysAnswerFromRecordAndFromObjectStore() {
    for (int size : new int[] {10, 20 << 10}) {
      store.rows.clear();
      Granted granted = (Granted) claim(claims, "a" + size, "f");
      claims.complete(granted.claim(), answer(size));
      settle(claims);
      Replay replay = (Replay) claim(claims, "b", "f");
      assertThat(replay.answer().head().getStatus()).isEqualTo(201);
      assertThat(replay.answer().body().size()).isEqualTo(size);
    }
    assertThat(store.values).hasSize(1);
  }

  @Test
  void refusesRepeatOfStartedOrder() {
    claim(claims, "a", "f");
    Refused running = (Refused) claim(claims, "b", "f");
    assertThat(running.code()).isEqualTo(ErrorCode.STILL_RUNNING);
    assertThat(running.ran()).isEqualTo(Ran.UNKNOWN);
    otherAgentEnded = true;
    Refused lost = (Refused) claim(claims, "c", "f");
    assertThat(lost.code()).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
    otherAgentEnded = false;
    clock.advance(60_000);
    Refused late = (Refused) claim(claims, "d", "f");
    assertThat(late.code()).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
  }

  @Test
  void refusesKeyOfAnotherRequestAsNotRun() {
    claim(claims, "a", "f");
    Refused reused = (Refused) claim(claims, "b", "g");
    assertThat(reused.code()).isEqualTo(ErrorCode.IDEMPOTENCY_KEY_REUSED);
    assertThat(reused.ran()).isEqualTo(Ran.NO);
  }

  @Test
  void allowsClaimOfReleasedKey() {
    Granted granted = (Granted) claim(claims, "a", "f");
    claims.release(granted.claim());
    settle(claims);
    assertThat(claim(claims, "b", "g")).isInstanceOf(Granted.class);
  }

  @Test
  void refusesAsNotRunWhileStoreIsDown() {
    FaultyStore down = new FaultyStore(() -> Fault.REFUSED);
    TableClaims other = agent("i2", down);
    List<ClaimResult> results = new ArrayList<>();
    other.claim(order("a", "f"), results::add);
    for (int i = 0; i < 21; i++) {
      down.drain();
      clock.advance(100);
      other.onTick();
    }
    Refused refused = (Refused) results.get(0);
    assertThat(refused.code()).isEqualTo(ErrorCode.ORDER_STORE_UNAVAILABLE);
    assertThat(refused.ran()).isEqualTo(Ran.NO);
  }

  @Test
  void reportsRecordedOrderAsRunWhenItsAnswerCannotBeRead() {
    Granted granted = (Granted) claim(claims, "a", "f");
    claims.complete(granted.claim(), answer(20 << 10));
    settle(claims);
    store.values.clear();
    Refused refused = (Refused) claim(claims, "b", "f");
    assertThat(refused.ran()).isEqualTo(Ran.YES);
  }

  @Test
  void boundsPendingAnswers() {
    FaultyStore down = new FaultyStore(() -> Fault.REFUSED);
    TableClaims other = agent("i2", down);
    ClaimRecord record = new ClaimRecord("a", "f", ClaimState.STARTED, "i2", 1, 0, null);
    for (int i = 0; i < 40; i++) {
      other.complete(new Claim(order("a" + i, "f"), 1, record), answer(1 << 20));
    }
    long kept = ClaimLimits.DEFAULT.pendingBytes() / (1 << 20);
    assertThat(counters.value(ClaimCounters.Result.RECORD_DROPPED)).isEqualTo(40 - kept);
  }

  /** Two agents claim one key four times while the store injects faults of all kinds. */
  @Property(seed = "4711", tries = 3_000, shrinking = ShrinkingMode.OFF)
  void atMostOneAgentRunsAnOrderAndItsAnswerIsReplayed(@ForAll long seed) {
    new Race(new Random(seed)).run();
  }

  /** One randomized run of the property, with two agents that share a faulty store. */
  private final class Race {

    private final Random random;

    private final FaultyStore faultyStore;

    private final List<TableClaims> agents;

    private int runs;

    private int grants;

    private Race(Random random) {
      this.random = random;
      this.faultyStore =
          new FaultyStore(() -> Fault.values()[random.nextInt(Fault.values().length)]);
      this.agents = List.of(agent("i1", faultyStore), agent("i2", faultyStore));
    }

    private void run() {
      for (int i = 0; i < 4; i++) {
        TableClaims agent = agents.get(random.nextInt(2));
        agent.claim(order("id" + i, "f"), result -> onResult(agent, result));
        advance(random.nextInt(60));
      }
      advance(50);
      faultyStore.clearFaults();
      advance(400);
      assertThat(agents).allMatch(TableClaims::isSettled);
      List<ClaimResult> results = new ArrayList<>();
      agents.get(0).claim(order("last", "f"), results::add);
      advance(100);
      assertThat(results).hasSize(1);
      assertThat(runs).isLessThanOrEqualTo(1);
      if (runs == 1) {
        assertThat(results.get(0)).isInstanceOf(Replay.class);
        assertThat(((Replay) results.get(0)).answer().head().getStatus()).isEqualTo(201);
      } else {
        assertThat(results.get(0)).isInstanceOf(Granted.class);
      }
    }

    private void onResult(TableClaims agent, ClaimResult result) {
      if (result instanceof Granted granted) {
        boolean sent = grants++ > 0 || random.nextBoolean();
        if (sent) {
          runs++;
          agent.complete(granted.claim(), answer(random.nextBoolean() ? 10 : 20 << 10));
        } else {
          agent.release(granted.claim());
        }
      }
    }

    private void advance(int steps) {
      for (int i = 0; i < steps; i++) {
        switch (random.nextInt(3)) {
          case 0 -> faultyStore.step();
          case 1 -> faultyStore.applyLateWrite(random);
          default -> {
            clock.advance(random.nextInt(200));
            agents.forEach(TableClaims::onTick);
          }
        }
      }
    }
  }
}

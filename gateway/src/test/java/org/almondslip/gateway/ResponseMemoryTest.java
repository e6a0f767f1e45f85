package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.almondslip.gateway.ResponseMemory.CutOffReason;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

/** Tests of the decisions of {@link ResponseMemory} and {@link UploadGate} without connections. */
class ResponseMemoryTest {

  private static final int CAPACITY = 1_000_000;

  private final Clock.Manual clock = new Clock.Manual(1_000);

  private final BodyMemory memory = new BodyMemory(CAPACITY);

  private final ResponseMemory responses = new ResponseMemory(clock, memory);

  /** Response that records the decisions about it. */
  private final class Response implements ResponseMemory.Listener {

    private final ResponseMemory.Account account = responses.open(this);

    private final List<CutOffReason> cutOffs = new ArrayList<>();

    private int resumes;

    @Override
    public void onResume() {
      resumes++;
    }

    @Override
    public void onCutOff(CutOffReason reason, long bytes) {
      cutOffs.add(reason);
    }

    Response add(int bytes) {
      account.add(bytes);
      return this;
    }
  }

  /** Guards against memory beyond the bound, and against memory that stays after the end. */
  @Property(seed = "20261206", tries = 200)
  void neverExceedsCapacity(@ForAll long seed) {
    Random random = new Random(seed);
    BodyMemory bound = new BodyMemory(CAPACITY);
    ResponseMemory held = new ResponseMemory(clock, bound);
    List<ResponseMemory.Account> accounts = new ArrayList<>();
    List<Integer> sizes = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      clock.advance(random.nextInt(100));
      int size = random.nextInt(60_000);
      ResponseMemory.Account account =
          held.open(
              new ResponseMemory.Listener() {
                @Override
                public void onResume() {}

                @Override
                public void onCutOff(CutOffReason reason, long bytes) {}
              });
      account.add(size);
      accounts.add(account);
      sizes.add(size);
      int other = random.nextInt(accounts.size());
      if (random.nextBoolean()) {
        accounts.get(other).remove(sizes.get(other), sizes.set(other, 0));
      }
      held.tick();
      assertThat(bound.used()).isBetween(0L, (long) CAPACITY);
      assertThat(held.heldBytes()).isEqualTo(bound.used());
    }
    accounts.forEach(ResponseMemory.Account::release);
    assertThat(bound.used()).isZero();
    assertThat(held.heldBytes()).isZero();
    assertThat(held.pausedTargets()).isZero();
  }

  /** Guards against cutting off a caller that reads before those that do not. */
  @Test
  void callerThatReadsOutlivesThoseThatDoNot() {
    List<Response> slow = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      slow.add(new Response().add(30_000));
    }
    Response reader = new Response();
    for (int i = 0; i < 100; i++) {
      clock.advance(50);
      reader.add(100_000);
      reader.account.remove(90_000, 90_000);
      reader.account.remove(10_000, 10_000);
      slow.forEach(response -> response.add(1_000));
    }
    assertThat(reader.cutOffs).isEmpty();
    assertThat(slow).anyMatch(response -> !response.cutOffs.isEmpty());
    assertThat(memory.used()).isLessThanOrEqualTo(CAPACITY);
  }

  /** Guards against cutting off the caller with little data before the one with most. */
  @Test
  void callerWithMostBytesIsCutOffFirst() {
    final Response small = new Response().add(10_000);
    Response large = new Response().add(400_000);
    clock.advance(5_000);
    new Response().add(300_000);
    assertThat(large.cutOffs).containsExactly(CutOffReason.MEMORY);
    assertThat(small.cutOffs).isEmpty();
  }

  /** Guards against a target that is paused while there is memory, or that is not read again. */
  @Test
  void targetsOfLargeHoldersArePausedAboveSoftLimit() {
    Response small = new Response().add(10_000);
    Response large = new Response().add(480_000);
    assertThat(responses.pausedTargets()).isZero();
    large.add(50_000);
    small.add(1_000);
    assertThat(large.account.isPaused()).isTrue();
    assertThat(small.account.isPaused()).isFalse();
    large.account.remove(500_000, 500_000);
    assertThat(large.resumes).isEqualTo(1);
    assertThat(responses.pausedTargets()).isZero();
  }

  /** Guards against a target that gives up since it stays paused for seconds. */
  @Test
  void longPauseEndsWithCutOff() {
    final Response slowest = new Response().add(300_000);
    clock.advance(3_000);
    Response next = new Response().add(260_000);
    assertThat(next.account.isPaused()).isTrue();
    responses.tick();
    assertThat(slowest.cutOffs).isEmpty();
    next.account.remove(1, 0);
    clock.advance(ResponseMemory.MAX_PAUSE_MILLIS);
    responses.tick();
    assertThat(slowest.cutOffs).containsExactly(CutOffReason.TARGET_PAUSED);
    assertThat(next.resumes).isEqualTo(1);
    assertThat(next.cutOffs).isEmpty();
  }

  /** Guards against a complete response that is cut off since uploads have filled the memory. */
  @Test
  void completeResponseKeepsItsMemory() {
    BodyMemory.Reservation body = memory.reserve();
    body.tryExtend(300_000);
    final BodyMemory.Reservation large = memory.reserve();
    large.tryExtend(440_000);
    for (int i = 0; i < 5; i++) {
      memory.reserve().tryExtend(50_000);
    }
    Response response = new Response();
    response.account.takeOver(body);
    assertThat(response.cutOffs).isEmpty();
    assertThat(response.account.tryAddCopy(64 << 10)).isFalse();
    assertThat(response.cutOffs).isEmpty();
    assertThat(responses.heldBytes()).isEqualTo(300_000);
    assertThat(memory.used()).isEqualTo(990_000);
    response.account.remove(300_000, 300_000);
    body.release();
    assertThat(memory.used()).isEqualTo(690_000);
  }

  /** Guards against a caller that is taken for slow since it had nothing to read for a while. */
  @Test
  void callerWithoutDataForSomeTimeIsNotSlow() {
    Response reader = new Response().add(10_000);
    reader.account.remove(10_000, 10_000);
    clock.advance(10_000);
    reader.add(300_000);
    clock.advance(100);
    reader.account.remove(1_000, 1_000);
    assertThat(memory.reserve().tryExtend(600_000)).isFalse();
    assertThat(reader.cutOffs).isEmpty();
  }

  /** Guards against cutting off a caller that reads for the data of another one. */
  @Test
  void callerThatReadsIsNotCutOffForAnother() {
    final Response reader = new Response().add(400_000);
    Response other = new Response().add(300_000);
    other.add(300_000);
    assertThat(reader.cutOffs).isEmpty();
    assertThat(other.cutOffs).containsExactly(CutOffReason.MEMORY);
  }

  /** Guards against cutting off a caller with little data that stopped before large holders. */
  @Test
  void smallHolderThatStoppedIsCutOffAfterLargeSlowHolder() {
    final Response small = new Response().add(2_000);
    clock.advance(20_000);
    Response large = new Response().add(500_000);
    for (int i = 0; i < 200; i++) {
      clock.advance(50);
      large.account.remove(500, 500);
    }
    assertThat(memory.reserve().tryExtend(400_000)).isTrue();
    assertThat(large.cutOffs).containsExactly(CutOffReason.MEMORY);
    assertThat(small.cutOffs).isEmpty();
  }

  /** Guards against cutting off callers although that cannot make room among uploads. */
  @Test
  void callersAreNotCutOffInVainWhenUploadsFillMemory() {
    final Response slow = new Response().add(50_000);
    memory.reserve().tryExtend(690_000);
    clock.advance(5_000);
    assertThat(memory.reserve().tryExtend(200_000)).isFalse();
    assertThat(slow.cutOffs).isEmpty();
    assertThat(memory.reserve().tryExtend(60_000)).isTrue();
    assertThat(slow.cutOffs).isEmpty();
  }

  /** Guards against a scan of all accounts for each body while no caller is slow. */
  @Test
  void scanWithoutResultIsNotRepeatedAtOnce() {
    final Response slow = new Response().add(600_000);
    clock.advance(ResponseMemory.NO_PROGRESS_MILLIS - 1);
    assertThat(memory.reserve().tryExtend(300_000)).isFalse();
    clock.advance(ResponseMemory.SCAN_PAUSE_MILLIS - 1);
    assertThat(memory.reserve().tryExtend(300_000)).isFalse();
    clock.advance(1);
    assertThat(memory.reserve().tryExtend(300_000)).isTrue();
    assertThat(slow.cutOffs).containsExactly(CutOffReason.MEMORY);
  }

  /** Guards against a body that is refused although slow callers hold the memory. */
  @Test
  void slowCallersMakeRoomForBodies() {
    Response slow = new Response().add(650_000);
    clock.advance(1_000);
    assertThat(memory.reserve().tryExtend(200_000)).isTrue();
    assertThat(slow.cutOffs).containsExactly(CutOffReason.MEMORY);
    assertThat(memory.refused()).isZero();
  }

  /** Guards against bodies that wait for each other for ever. */
  @Test
  void bodyWaitsOnceUntilMemoryIsFreeOrPauseEnds() {
    UploadGate gate = new UploadGate(clock, memory);
    List<String> events = new ArrayList<>();
    BodyMemory.Reservation used = memory.reserve();
    used.tryExtend(650_000);
    RequestBody first = new RequestBody(memory.reserve(), "200000");
    first.tryAppend(io.vertx.core.buffer.Buffer.buffer(new byte[70_000]));
    gate.onData(first, () -> events.add("pause"), () -> events.add("resume"));
    gate.tick();
    assertThat(events).containsExactly("pause");
    clock.advance(UploadGate.MAX_PAUSE_MILLIS);
    gate.tick();
    assertThat(events).containsExactly("pause", "resume");
    gate.onData(first, () -> events.add("pause"), () -> events.add("resume"));
    assertThat(events).hasSize(2);
    RequestBody second = new RequestBody(memory.reserve(), null);
    second.tryAppend(io.vertx.core.buffer.Buffer.buffer(new byte[10]));
    gate.onData(second, () -> events.add("pause"), () -> events.add("resume"));
    assertThat(gate.waiting()).isEqualTo(1);
    used.release();
    gate.tick();
    assertThat(gate.waiting()).isZero();
    assertThat(events).hasSize(4);
  }
}

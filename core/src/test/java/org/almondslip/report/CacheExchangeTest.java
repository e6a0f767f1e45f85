package org.almondslip.report;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.almondslip.directory.TargetRecord;
import org.almondslip.dispatch.DispatchLimits;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.Placement;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;
import org.almondslip.quarantine.CrashQuarantine;
import org.almondslip.quarantine.SegmentQuarantine;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

/** Tests of {@link CacheExchange}. */
class CacheExchangeTest {

  private static final int TARGETS = 40;

  private static final int SEGMENT_TOKENS = 3_000;

  private static final long CACHE_TOKENS = 480_000;

  /** Interval of the calls in milliseconds. */
  private static final int TICK_MILLIS = 60;

  private final Clock.Manual clock = new Clock.Manual(1_000);

  private final Router old = new Router("old", 7);

  private final Router restarted = new Router("restarted", 8);

  /** Router with its targets and its exchange. */
  private final class Router {

    private final Dispatcher dispatcher =
        new Dispatcher(
            clock,
            new Placement("dc", EngineModel.DEFAULT),
            EngineModel.DEFAULT,
            DispatchLimits.DEFAULT);

    private final ReportReader reader =
        new ReportReader(
            dispatcher,
            new CrashQuarantine(clock),
            new SegmentQuarantine(clock, "router", SegmentQuarantine.Listener.NoOp.INSTANCE),
            clock);

    private final CacheExchange exchange;

    private Router(String name, long incarnation) {
      for (int i = 0; i < TARGETS; i++) {
        dispatcher.add(
            new TargetLoad(
                new TargetRecord(
                    "t" + i, "s", "10.0.0.1", 80 + i, "dc", 8, TargetRecord.State.READY, 1, 1),
                CACHE_TOKENS));
      }
      exchange = new CacheExchange(clock, name, incarnation, dispatcher);
    }

    private void read(CacheExchange.Message message) {
      reader.read(message.report());
      exchange.read(message.report());
    }
  }

  /** Guards against a restarted router that places prompts without knowing the caches. */
  @Test
  void restartedRouterLearnsCachesOfAllTargets() {
    stopAsking(old);
    fillCaches(old);
    for (int tick = 0; tick < 40; tick++) {
      restarted.exchange.next(List.of("old")).forEach(old::read);
      old.exchange.next(List.of("restarted")).forEach(restarted::read);
      clock.advance(TICK_MILLIS);
    }
    for (int i = 0; i < TARGETS; i++) {
      Prompt prompt = prompt(i);
      TargetLoad target = restarted.dispatcher.targets().get(i);
      assertThat(target.uncachedTokens(prompt))
          .isEqualTo(old.dispatcher.targets().get(i).uncachedTokens(prompt))
          .isZero();
    }
  }

  /** Guards against a request that is lost, or sent to a router that does not answer. */
  @Test
  void asksAnotherRouterWithoutAnswer() {
    List<String> asked = new ArrayList<>();
    for (int tick = 0; tick < 100; tick++) {
      restarted.exchange.next(List.of("a", "b", "c")).forEach(m -> asked.add(m.router()));
      clock.advance(TICK_MILLIS);
    }
    assertThat(asked).hasSize(CacheExchange.MAX_REQUESTS);
    assertThat(asked.subList(0, 3)).containsExactlyInAnyOrder("a", "b", "c");
  }

  /** Guards against a router without knowledge whose answer ends the search for one that has it. */
  @Test
  void routerThatIsStillAskingDoesNotAnswer() {
    fillCaches(old);
    restarted.exchange.next(List.of("old")).forEach(old::read);
    assertThat(old.exchange.next(List.of())).isEmpty();
  }

  /** Guards against a snapshot that is sent in one burst, or in datagrams that are too large. */
  @Test
  void snapshotIsSentInSmallParts() {
    stopAsking(old);
    fillCaches(old);
    restarted.exchange.next(List.of("old")).forEach(old::read);
    int parts = 0;
    List<CacheExchange.Message> messages = old.exchange.next(List.of("restarted"));
    while (!messages.isEmpty()) {
      assertThat(messages).hasSizeLessThanOrEqualTo(CacheExchange.MAX_MESSAGES);
      assertThat(messages).allMatch(message -> message.router().equals("restarted"));
      assertThat(messages)
          .allMatch(m -> m.report().getSerializedSize() <= ReportPacker.MAX_BYTES + 2);
      parts += messages.size();
      messages = old.exchange.next(List.of("restarted"));
    }
    assertThat(parts).isGreaterThan(CacheExchange.MAX_MESSAGES);
  }

  /** Lets a router ask in vain until it gives up, as the routers of a new fleet do. */
  private void stopAsking(Router router) {
    for (int i = 0; i < CacheExchange.MAX_REQUESTS; i++) {
      router.exchange.next(List.of("nobody"));
      clock.advance(CacheExchange.RETRY_MILLIS);
    }
  }

  /** Fills the cache model of each target with the segments of its own prompt and many others. */
  private static void fillCaches(Router router) {
    int index = 0;
    for (TargetLoad target : router.dispatcher.targets()) {
      for (int other = 0; other < 120; other++) {
        target.onPeerSent(
            new Prompt(
                List.of(new Prompt.Segment(1_000_000L * index + other, SEGMENT_TOKENS)),
                SEGMENT_TOKENS,
                0));
      }
      target.onPeerSent(prompt(index++));
    }
  }

  private static Prompt prompt(int target) {
    return new Prompt(
        List.of(
            new Prompt.Segment(-1, SEGMENT_TOKENS),
            new Prompt.Segment(-1_000L - target, SEGMENT_TOKENS)),
        2 * SEGMENT_TOKENS,
        0);
  }
}

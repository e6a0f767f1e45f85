package org.almondslip.report;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.almondslip.directory.TargetRecord;
import org.almondslip.dispatch.DispatchLimits;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.Placement;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;
import org.almondslip.placement.TargetStatus;
import org.almondslip.protocol.wire.LoadReport;
import org.almondslip.protocol.wire.SentPrompt;
import org.almondslip.protocol.wire.ServiceTotal;
import org.almondslip.protocol.wire.TargetReport;
import org.almondslip.quarantine.CrashQuarantine;
import org.almondslip.quarantine.SegmentQuarantine;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

/** Tests of {@link ReportReader} with reports that no router would send. */
class ReportReaderTest {

  private static final long CACHE_TOKENS = 500_000;

  private static final Prompt PROMPT =
      new Prompt(List.of(new Prompt.Segment(1, 800)), 1_000, 80, OptionalInt.empty());

  private final Clock.Manual clock = new Clock.Manual(10_000);

  private final Placement placement = new Placement("dc", EngineModel.DEFAULT);

  private final Dispatcher dispatcher =
      new Dispatcher(clock, placement, EngineModel.DEFAULT, DispatchLimits.DEFAULT);

  private final ReportReader reader =
      new ReportReader(
          dispatcher,
          new CrashQuarantine(clock),
          new SegmentQuarantine(clock, "router", SegmentQuarantine.Listener.NoOp.INSTANCE),
          clock);

  private final TargetLoad target =
      new TargetLoad(
          new TargetRecord("t", "s", "10.0.0.1", 80, "dc", 8, TargetRecord.State.READY, 1, 1),
          CACHE_TOKENS);

  ReportReaderTest() {
    dispatcher.add(target);
  }

  /** Guards against numbers of a report that make a target look less loaded than an idle one. */
  @Property(seed = "20261205", tries = 300)
  void loadIsNeverNegative(
      @ForAll int unread, @ForAll int requests, @ForAll int first, @ForAll int second) {
    reader.read(
        LoadReport.newBuilder()
            .setRouter("other")
            .addTargets(
                TargetReport.newBuilder()
                    .setTarget(target.incarnationKey())
                    .setUnreadTokens(unread)
                    .setRequests(requests))
            .addPrompts(
                SentPrompt.newBuilder()
                    .setTarget(target.incarnationKey())
                    .addParts(1)
                    .addTokens(first)
                    .addParts(2)
                    .addTokens(second))
            .build());
    assertThat(target.pendingPrefillTokens(clock.millis())).isNotNegative();
    assertThat(target.requests(clock.millis())).isNotNegative();
    assertThat(target.uncachedTokens(PROMPT)).isBetween(0, PROMPT.promptTokens());
    assertThat(placement.choose(List.of(target), PROMPT, any -> true, clock.millis())).isPresent();
  }

  /** Guards against a router that has just started and places at random for some seconds. */
  @Test
  void cacheSnapshotIsNoCurrentWork() {
    TargetLoad busy =
        new TargetLoad(
            new TargetRecord("b", "s", "10.0.0.2", 80, "dc", 8, TargetRecord.State.READY, 1, 1),
            CACHE_TOKENS);
    dispatcher.add(busy);
    busy.onPeerReport("other", 5_000, 1, clock.millis());
    target
        .speed()
        .onStatus(Optional.of(new TargetStatus(1, 0, 8, OptionalInt.of(100))), clock.millis());
    for (boolean snapshot : new boolean[] {true, false}) {
      for (int i = 0; i < 100; i++) {
        reader.read(
            LoadReport.newBuilder()
                .setRouter("other")
                .setCacheSnapshot(snapshot)
                .addPrompts(
                    SentPrompt.newBuilder()
                        .setTarget(target.incarnationKey())
                        .addParts((snapshot ? 1_000 : 2_000) + i)
                        .addTokens(4_000))
                .build());
        clock.advance(40);
        busy.onPeerReport("other", 5_000, 1, clock.millis());
        placement.choose(dispatcher.targets(), PROMPT, any -> true, clock.millis());
      }
      long chosen =
          IntStream.range(0, 50)
              .mapToObj(
                  i -> placement.choose(dispatcher.targets(), PROMPT, any -> true, clock.millis()))
              .filter(choice -> choice.orElseThrow().load() == busy)
              .count();
      assertThat(chosen)
          .as("snapshot: " + snapshot)
          .isBetween(snapshot ? 0L : 1L, snapshot ? 0 : 50L);
    }
  }

  /** Guards against totals that change the shares of all organisations for a minute. */
  @Property(seed = "20261205", tries = 300)
  void impossibleServiceIsNotCounted(@ForAll long asked, @ForAll long given) {
    for (int i = 0; i < 2; i++) {
      clock.advance(PeerTotals.BASELINE_MILLIS);
      reader.read(
          LoadReport.newBuilder()
              .setRouter("other")
              .addTotals(
                  ServiceTotal.newBuilder()
                      .setService("s")
                      .setOrganisation("org")
                      .setAsked(i * asked)
                      .setGiven(i * given))
              .build());
    }
    assertThat(dispatcher.servedTokens("s", "org"))
        .isBetween(0.0, (double) PeerTotals.MAX_INCREASE_TOKENS);
  }
}

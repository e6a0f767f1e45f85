package org.almondslip.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.almondslip.placement.Prompt;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SegmentQuarantineTest {

  private static final long RUN_MILLIS = 200;

  private final Clock.Manual clock = new Clock.Manual(100_000);

  private final SegmentQuarantine quarantine =
      new SegmentQuarantine(clock, "router-1", SegmentQuarantine.Listener.NoOp.INSTANCE);

  private long targets;

  /** Guards against blame for the segments that sound requests share with the crashing ones. */
  @Test
  void blamesSegmentWithoutAnswers() {
    for (int i = 0; i < SegmentQuarantine.CRASH_THRESHOLD; i++) {
      crash(1, 2, 3);
      answer(1, 2, 100 + i);
      answer(1, 200 + i);
    }
    assertThat(isBlocked(1, 2, 3)).isTrue();
    assertThat(isBlocked(1, 2, 4)).isFalse();
    assertThat(isBlocked(1, 5)).isFalse();
  }

  /** Guards against blame for sound segments of requests that end with each crash. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void sparesSegmentsOfRequestsOnCrashedTargets(boolean soundFirst) {
    answerOften(1, 2);
    for (int i = 0; i < SegmentQuarantine.CRASH_THRESHOLD; i++) {
      long[] sound = {1, 2};
      long[] crashing = {1, 3};
      crashTogether(soundFirst ? sound : crashing, soundFirst ? crashing : sound);
      if (i < SegmentQuarantine.ACQUITTING_ANSWERS - 1) {
        answer(1, 2);
      }
    }
    assertThat(isBlocked(1, 3)).isTrue();
    assertThat(isBlocked(1, 2)).isFalse();
    assertThat(isBlocked(1, 4)).isFalse();
  }

  /** Guards against blame for the last segment while the first one crashes targets. */
  @Test
  void sparesLastSegmentThatWasAnsweredBefore() {
    answerOften(1, 2);
    crashOften(3, 2);
    assertThat(isBlocked(3, 4)).isTrue();
    assertThat(isBlocked(1, 2)).isFalse();
  }

  /** Guards against a verdict on reports that name sound requests before the crashing one. */
  @Test
  void waitsForAllReportsOnCrash() {
    answerOften(1, 2);
    for (int i = 0; i < SegmentQuarantine.ANSWERED_CRASH_THRESHOLD; i++) {
      crashTogether(new long[] {1, 2});
      clock.advance(SegmentQuarantine.SETTLING_MILLIS - 1);
      quarantine.tick();
      quarantine.onCrash(CrashedPrompt.of(prompt(1, 3), targets - 1, clock.millis()));
    }
    assertThat(isBlocked(1, 3)).isTrue();
    assertThat(isBlocked(1, 2)).isFalse();
  }

  /** Guards against blame for sound segments in repeated reports on crashes that are explained. */
  @Test
  void reportsOnExplainedCrashesAreIgnored() {
    answerOften(1, 2);
    crashOften(1, 3);
    assertThat(isBlocked(1, 3)).isTrue();
    for (long target = 0; target < targets; target++) {
      quarantine.onCrash(CrashedPrompt.of(prompt(1, 2), target, clock.millis()));
    }
    crashTogether(new long[] {1, 3}, new long[] {1, 2});
    crashTogether(new long[] {1, 2});
    crashTogether(new long[] {1, 2});
    assertThat(isBlocked(1, 2)).isFalse();
    assertThat(quarantine.restrictedSegments()).isEqualTo(1);
  }

  /** Guards against blame for the segment that the prompts of two crashing ones share. */
  @Test
  void blamesTwoCrashingSegments() {
    answerOften(1, 2);
    for (int i = 0; i < SegmentQuarantine.CRASH_THRESHOLD; i++) {
      crash(1, 3);
      crash(1, 4);
    }
    assertThat(isBlocked(1, 3)).isTrue();
    assertThat(isBlocked(1, 4)).isTrue();
    assertThat(isBlocked(1, 2)).isFalse();
  }

  /** Guards against blame for a sound segment after three crashes with other causes. */
  @Test
  void segmentThatWasAnsweredNeedsMoreCrashes() {
    answerOften(1, 2);
    crashOften(1, 2);
    assertThat(isBlocked(1, 2)).isFalse();
  }

  /** Guards against blame for a sound segment whose answers began after an unrelated crash. */
  @Test
  void answersAfterUnrelatedCrashCount() {
    crash(1, 2);
    answerOften(1, 2);
    crashOften(3, 2);
    assertThat(isBlocked(3, 4)).isTrue();
    assertThat(isBlocked(1, 2)).isFalse();
  }

  /** Guards against a segment that crashes targets for good since it was sound before. */
  @Test
  void answersBeforeCrashesDoNotAcquit() {
    answerOften(1, 2);
    for (int i = 0; i < SegmentQuarantine.ANSWERED_CRASH_THRESHOLD; i++) {
      crash(1, 2);
      // Responses that began before the first crash.
      quarantine.onAnswer(prompt(1, 2), 0);
    }
    assertThat(isBlocked(1, 2)).isTrue();
    for (int i = 0; i < SegmentQuarantine.ACQUITTING_ANSWERS; i++) {
      quarantine.onAnswer(prompt(1, 2), 0);
    }
    assertThat(isBlocked(1, 2)).isTrue();
  }

  /** Guards against blame by a router that restarted and has not seen the answers before it. */
  @Test
  void answersOfOtherRoutersBeforeCrashesCount() {
    for (int i = 0; i < SegmentQuarantine.CRASH_THRESHOLD; i++) {
      crash(3, 2);
    }
    quarantine.onPeerStatus("router-2", 2, new SegmentStatus(40, 0, 0, false, 0));
    assertThat(isBlocked(3, 4)).isTrue();
    assertThat(isBlocked(1, 2)).isFalse();
  }

  /** Guards against blame for a common first segment when the crashing one is never answered. */
  @Test
  void blamesLastOfSegmentsThatAlwaysCrashTogether() {
    crashOften(1, 2, 3);
    assertThat(isBlocked(1, 2, 3)).isTrue();
    assertThat(isBlocked(1, 2, 4)).isFalse();
  }

  /** Guards against an innocent segment that hides a crashing one in front of it. */
  @Test
  void blamesEarlierSegmentWhenItCrashesWithoutTheBlamedOne() {
    crashOften(1, 2, 3);
    crashOften(1, 2, 4);
    crashOften(1, 2, 5);
    crash(1, 2, 6);
    crash(1, 2, 7);
    crash(1, 2, 8);
    assertThat(isBlocked(1, 2, 9)).isTrue();
    assertThat(isBlocked(1, 10)).isFalse();
  }

  /** Guards against blame for requests on targets that fail together. */
  @Test
  void targetsThatCrashAtTheSameTimeCountOnce() {
    long progressAt = clock.millis();
    clock.advance(RUN_MILLIS);
    for (int i = 0; i < 10; i++) {
      quarantine.onCrash(new CrashedPrompt(List.of(1L, 2L), targets++, progressAt));
      clock.advance(1);
    }
    assertThat(isBlocked(1, 2)).isFalse();
  }

  /** Guards against blame after several crashes of one target, or reports of one crash. */
  @Test
  void countsEachTargetOnce() {
    for (int i = 0; i < 10; i++) {
      long progressAt = clock.millis();
      clock.advance(RUN_MILLIS);
      quarantine.onCrash(new CrashedPrompt(List.of(1L, 2L), 7, progressAt));
    }
    assertThat(isBlocked(1, 2)).isFalse();
  }

  /** Guards against blame for a segment in demand while targets are replaced one by one. */
  @Test
  void answersBetweenCrashesAcquit() {
    for (int i = 0; i < 20; i++) {
      crash(1, 2);
      for (int j = 0; j < SegmentQuarantine.ACQUITTING_ANSWERS; j++) {
        answer(1, 2);
      }
    }
    assertThat(isBlocked(1, 2)).isFalse();
  }

  /** Guards against blame for a segment whose sound requests are sent by other routers. */
  @Test
  void answersAtOtherRoutersAcquit() {
    for (int i = 0; i < 20; i++) {
      crash(1, 100 + i);
      long answers = (i + 1) * SegmentQuarantine.ACQUITTING_ANSWERS;
      quarantine.onPeerStatus("router-2", 1, new SegmentStatus(0, answers, 0, false, 0));
    }
    assertThat(isBlocked(1, 2)).isFalse();
  }

  /** Guards against a segment that stays blocked although it is harmless. */
  @Test
  void answeredProbeReleasesSegment() {
    crashOften(1, 2);
    clock.advance(SegmentQuarantine.QUARANTINE_MILLIS + SegmentQuarantine.PROBE_SPREAD_MILLIS);
    assertThat(isBlocked(1, 2)).isFalse();
    quarantine.onSent(prompt(1, 2));
    assertThat(isBlocked(1, 2)).isTrue();
    answer(1, 2);
    assertThat(isBlocked(1, 2)).isFalse();
    assertThat(quarantine.restrictedSegments()).isZero();
  }

  /** Guards against a harmless segment whose answers arrive only after it is blocked. */
  @Test
  void answersOfEarlierRequestsReleaseSegment() {
    crashOften(1, 2);
    for (int i = 0; i < SegmentQuarantine.ACQUITTING_ANSWERS; i++) {
      answer(1, 2);
    }
    assertThat(isBlocked(1, 2)).isFalse();
  }

  /** Guards against probes that go on crashing targets at a steady rate. */
  @Test
  void crashedProbeDoublesQuarantine() {
    crashOften(1, 2);
    long wait = SegmentQuarantine.QUARANTINE_MILLIS + SegmentQuarantine.PROBE_SPREAD_MILLIS;
    clock.advance(wait);
    quarantine.onSent(prompt(1, 2));
    crash(1, 2);
    clock.advance(wait);
    assertThat(isBlocked(1, 2)).isTrue();
    clock.advance(SegmentQuarantine.QUARANTINE_MILLIS);
    assertThat(isBlocked(1, 2)).isFalse();
  }

  /** Guards against a probe without outcome that blocks a segment for good. */
  @Test
  void lostProbeIsRepeated() {
    crashOften(1, 2);
    clock.advance(SegmentQuarantine.QUARANTINE_MILLIS + SegmentQuarantine.PROBE_SPREAD_MILLIS);
    quarantine.onSent(prompt(1, 2));
    clock.advance(SegmentQuarantine.PROBE_MILLIS);
    assertThat(isBlocked(1, 2)).isFalse();
  }

  /** Guards against a delayed report that brings back a quarantine which has ended. */
  @Test
  void olderStatusOfOtherRouterIsIgnored() {
    SegmentStatus quarantined = new SegmentStatus(0, 0, 1, false, 20_000);
    quarantine.onPeerStatus("router-2", 2, quarantined);
    assertThat(isBlocked(1, 2)).isTrue();
    quarantine.onPeerStatus("router-2", 2, new SegmentStatus(0, 5, 1, true, 0));
    assertThat(isBlocked(1, 2)).isFalse();
    quarantine.onPeerStatus("router-3", 2, quarantined);
    assertThat(isBlocked(1, 2)).isFalse();
    quarantine.onPeerStatus("router-3", 2, new SegmentStatus(0, 0, 2, false, 20_000));
    assertThat(isBlocked(1, 2)).isTrue();
  }

  /** Guards against memory that grows with the number of crashes, and evicted quarantines. */
  @Test
  void tracksBoundedNumberOfSegments() {
    crashOften(1, 2);
    for (int i = 0; i < 2 * SegmentQuarantine.MAX_SEGMENTS; i++) {
      crash(1_000 + i);
    }
    assertThat(quarantine.statuses()).hasSize(SegmentQuarantine.MAX_SEGMENTS);
    assertThat(quarantine.restrictedSegments()).isEqualTo(1);
  }

  /** Guards against suspicion that outlives its evidence. */
  @Test
  void forgetsOldCrashes() {
    crash(1, 2);
    clock.advance(SegmentQuarantine.EVIDENCE_MILLIS);
    quarantine.prune();
    assertThat(quarantine.statuses()).isEmpty();
  }

  /** Guards against blame for the last segment, which belongs to a single request. */
  @Test
  void ignoresPromptWithoutSharedSegments() {
    assertThat(CrashedPrompt.of(prompt(), 1, 0).segments()).isEmpty();
    assertThat(quarantine.blockedMillis(Prompt.NONE)).isEmpty();
  }

  private void crashOften(long... segments) {
    for (int i = 0; i < SegmentQuarantine.CRASH_THRESHOLD; i++) {
      crash(segments);
    }
    settle();
  }

  /** Lets a request with the given shared segments crash a new target. */
  private void crash(long... segments) {
    Prompt prompt = prompt(segments);
    long progressAt = clock.millis();
    clock.advance(RUN_MILLIS);
    quarantine.onCrash(CrashedPrompt.of(prompt, targets++, progressAt));
  }

  /** Lets a new target crash while it runs requests with the given shared segments. */
  private void crashTogether(long[]... prompts) {
    long progressAt = clock.millis();
    clock.advance(RUN_MILLIS);
    for (long[] segments : prompts) {
      quarantine.onCrash(CrashedPrompt.of(prompt(segments), targets, progressAt));
    }
    targets++;
  }

  private void answerOften(long... segments) {
    for (int i = 0; i < 40; i++) {
      answer(segments);
    }
  }

  /** Lets so much time pass that all reports on the crashes have arrived. */
  private void settle() {
    for (int i = 0; i < 2; i++) {
      clock.advance(SegmentQuarantine.SETTLING_MILLIS);
      quarantine.tick();
    }
  }

  private void answer(long... segments) {
    quarantine.onAnswer(prompt(segments), clock.millis());
  }

  /** Returns whether a request is blocked once the reports on all crashes have arrived. */
  private boolean isBlocked(long... segments) {
    settle();
    return quarantine.blockedMillis(prompt(segments)).isPresent();
  }

  /** Returns a prompt with the given shared segments and a last one. */
  private static Prompt prompt(long... segments) {
    List<Prompt.Segment> all = new ArrayList<>();
    for (long segment : segments) {
      all.add(new Prompt.Segment(segment, 100));
    }
    all.add(new Prompt.Segment(-1, 10));
    return new Prompt(all, 1_000, 10);
  }
}

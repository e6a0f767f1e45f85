package org.almondslip.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.function.IntToDoubleFunction;
import org.almondslip.directory.TargetRecord;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Tests {@link TargetSpeed} with 22 routers whose reports are 180 ms old. */
class SpeedFleetTest {

  private static final int ROUTERS = 22;

  private static final int TARGETS = 12;

  private static final int REPORT_MILLIS = 60;

  private static final int REPORT_AGE_MILLIS = 180;

  /** Time from the end of prefill to the first event and to the end of a stream at usual speed. */
  private static final int STEPS_MILLIS = 40;

  private static final int STREAM_MILLIS = 300;

  private static final int WARM_UP_MILLIS = 10_000;

  private final UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(20261206L);

  private final List<Router> routers = new ArrayList<>();

  /** Events in the order of their time. */
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : a.order - b.order);

  private int order;

  private long now = 1_000;

  /** Time at which each target has prefilled all its prompts. */
  private final double[] prefilledAt = new double[TARGETS];

  private final List<Sent> sent = new ArrayList<>();

  private final List<Double> firstEventMillis = new ArrayList<>();

  private boolean statesWork = true;

  private IntToDoubleFunction work = target -> 1;

  private IntToDoubleFunction duration = target -> 1;

  private record Sent(int target, long at) {}

  private record Event(long at, int order, Runnable action) {}

  /** Router with its view of the targets. */
  private static final class Router {
    private final String name;
    private final Placement placement;
    private final List<TargetLoad> targets = new ArrayList<>();
    private final List<Integer> sentTo = new ArrayList<>();
    private final List<Prompt> prompts = new ArrayList<>();

    private Router(String name, UniformRandomProvider random) {
      this.name = name;
      this.placement = new Placement("dc", EngineModel.DEFAULT, random);
      ServiceSpeed service = new ServiceSpeed();
      for (int i = 0; i < TARGETS; i++) {
        TargetRecord record =
            new TargetRecord(
                "t" + i, "s", "127.0.0.1", 80, "dc", 64, TargetRecord.State.READY, 0, 1);
        targets.add(new TargetLoad(record, 1_000_000));
        targets.get(i).speed().join(service);
      }
    }
  }

  SpeedFleetTest() {
    for (int i = 0; i < ROUTERS; i++) {
      addRouter("router-" + i);
    }
  }

  /** Guards against a fast half of the targets that idles, or that all routers flood at once. */
  @Test
  void loadFollowsSpeed() {
    duration = target -> isFast(target) ? 2.0 / 3 : 4.0 / 3;
    run(WARM_UP_MILLIS + 20_000, 0.7);
    double[] share = shares(WARM_UP_MILLIS, now);
    double fast = 0;
    for (int i = 0; i < TARGETS; i++) {
      assertThat(share[i]).as("target %d", i).isLessThan(2 * speedShare(i));
      fast += isFast(i) ? share[i] : 0;
    }
    assertThat(fast).isBetween(0.57, 0.72);
    for (long from = WARM_UP_MILLIS; from + 4_000 <= now; from += 4_000) {
      double[] window = shares(from, from + 4_000);
      for (int i = 0; i < TARGETS; i++) {
        assertThat(window[i]).as("target %d from %d", i, from).isLessThan(2 * speedShare(i));
      }
    }
  }

  /** Guards against estimates that waits behind unreported requests make equal for all targets. */
  @Test
  void allRoutersKnowTheSpeeds() {
    duration = target -> isFast(target) ? 2.0 / 3 : 4.0 / 3;
    run(20_000, 0.7);
    for (Router router : routers) {
      for (int i = 0; i < TARGETS; i++) {
        assertThat(router.targets.get(i).speed().speedPermille())
            .isBetween(isFast(i) ? 1_200 : 550, isFast(i) ? 1_750 : 950);
      }
    }
  }

  /** Guards against estimates that do harm: callers must be served clearly earlier with them. */
  @Test
  void callersAreServedEarlierThanWithoutEstimates() {
    SpeedFleetTest without = new SpeedFleetTest();
    without.statesWork = false;
    for (SpeedFleetTest fleet : List.of(this, without)) {
      fleet.duration = target -> isFast(target) ? 2.0 / 3 : 4.0 / 3;
      fleet.run(WARM_UP_MILLIS + 20_000, 0.7);
    }
    assertThat(meanMillis()).isLessThan(0.85 * without.meanMillis());
  }

  /** Guards against requests for a host that is slow now, and against avoiding it for good. */
  @Test
  void noisyTargetIsAvoidedWithinThePeriodAndComesBack() {
    work = target -> target == 0 && now % 3_000 < 600 ? 2.5 : 1;
    run(WARM_UP_MILLIS + 60_000, 0.5);
    double[] phases = new double[30];
    for (Sent one : sent) {
      if (one.target == 0 && one.at > WARM_UP_MILLIS) {
        phases[(int) (one.at % 3_000 / 100)]++;
      }
    }
    double usual = Arrays.stream(phases, 15, 30).average().orElseThrow();
    assertThat(Arrays.stream(phases, 3, 6).average().orElseThrow()).isLessThan(0.5 * usual);
    assertThat(Arrays.stream(phases, 12, 15).average().orElseThrow()).isGreaterThan(0.7 * usual);
  }

  /** Guards against a router that places badly until it has measured all targets itself. */
  @Test
  void newRouterLearnsTheSpeedsWithinOneSecond() {
    duration = target -> isFast(target) ? 2.0 / 3 : 4.0 / 3;
    run(20_000, 0.7);
    Router added = addRouter("new");
    run(1_000, 0.7);
    for (int i = 0; i < TARGETS; i++) {
      added.targets.get(i).prefillFactor(now);
      assertThat(added.targets.get(i).speed().speedPermille())
          .isBetween(isFast(i) ? 1_200 : 550, isFast(i) ? 1_750 : 950);
    }
  }

  private static boolean isFast(int target) {
    return target % 2 == 0;
  }

  /** Returns the share of a target in the speed of all, half of which are twice as fast. */
  private static double speedShare(int target) {
    return (isFast(target) ? 2.0 : 1.0) / (1.5 * TARGETS);
  }

  /** Returns the share of each target in the requests that were sent in a period. */
  private double[] shares(long from, long to) {
    double[] shares = new double[TARGETS];
    double total = sent.stream().filter(one -> one.at >= from && one.at < to).count();
    for (Sent one : sent) {
      shares[one.target] += one.at >= from && one.at < to ? 1 / total : 0;
    }
    return shares;
  }

  /** Returns the mean time from the arrival of a request to its first event. */
  private double meanMillis() {
    return firstEventMillis.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
  }

  private Router addRouter(String name) {
    Router router = new Router(name, RandomSource.SPLIT_MIX_64.create(random.nextLong()));
    routers.add(router);
    schedule(random.nextInt(REPORT_MILLIS), () -> report(router));
    return router;
  }

  private void schedule(double millis, Runnable action) {
    events.add(new Event(now + (long) millis, order++, action));
  }

  /** Runs the fleet at a fraction of the capacity of all targets. */
  private void run(long millis, double load) {
    double capacity = 0;
    for (int i = 0; i < TARGETS; i++) {
      capacity += EngineModel.DEFAULT.prefillTokensPerMilli() / duration.applyAsDouble(i);
    }
    scheduleArrival(load * capacity / 2_500);
    long end = now + millis;
    while (events.peek().at <= end) {
      Event event = events.poll();
      now = event.at;
      event.action.run();
    }
  }

  private void scheduleArrival(double perMilli) {
    schedule(
        -Math.log(1 - random.nextDouble()) / perMilli,
        () -> {
          Router router = routers.get(random.nextInt(routers.size()));
          int tokens = random.nextInt(3) == 0 ? 6_500 : 500;
          send(router, tokens, now);
          scheduleArrival(perMilli);
        });
  }

  private void send(Router router, int tokens, long arrivedAt) {
    Prompt prompt = new Prompt(List.of(), tokens, 10);
    Optional<Placement.Choice> choice =
        router.placement.choose(router.targets, prompt, this::hasCapacity, now);
    if (choice.isEmpty()) {
      schedule(5, () -> send(router, tokens, arrivedAt));
      return;
    }
    TargetLoad load = choice.get().load();
    int target = router.targets.indexOf(load);
    final SpeedMeasurement measurement = router.placement.measure(load, prompt, now);
    final double expected = Math.max(1, router.placement.expectedDelayMillis(load, prompt, now));
    final int uncached = load.onSent(prompt);
    router.sentTo.add(target);
    router.prompts.add(prompt);
    long sentAt = now;
    sent.add(new Sent(target, now));
    double factor = duration.applyAsDouble(target) * work.applyAsDouble(target);
    prefilledAt[target] =
        Math.max(now, prefilledAt[target]) + EngineModel.DEFAULT.prefillMillis(tokens) * factor;
    double firstAt = prefilledAt[target] + STEPS_MILLIS * factor;
    schedule(
        firstAt - now,
        () -> {
          load.onPrefilled(uncached);
          if (now > WARM_UP_MILLIS + 1_000) {
            firstEventMillis.add((double) now - arrivedAt);
          }
          int percent = (int) (100 * work.applyAsDouble(target));
          load.speed()
              .onStatus(
                  Optional.of(
                      new TargetStatus(
                          1, 0, 64, statesWork ? OptionalInt.of(percent) : OptionalInt.empty())),
                  now);
          measurement.onFirstEvent(now);
          load.onFirstEvent(now - sentAt, expected);
          schedule(
              STREAM_MILLIS * factor,
              () -> {
                load.onEnded();
                measurement.onComplete(now);
              });
        });
  }

  private boolean hasCapacity(TargetLoad load) {
    double pending = EngineModel.DEFAULT.prefillMillis(load.pendingPrefillTokens(now));
    return pending * load.prefillFactor(now) < 150;
  }

  /** Sends the state of a router to the others, where it arrives late. */
  private void report(Router router) {
    for (int i = 0; i < TARGETS; i++) {
      TargetLoad load = router.targets.get(i);
      int target = i;
      long tokens = load.ownPendingPrefillTokens();
      int requests = load.ownRequests();
      int permille = load.speed().reportedPermille(now).orElse(0);
      int samples = permille == 0 ? 0 : load.speed().reportedSamples();
      int percent = load.speed().reportedWorkPercent(now).orElse(0);
      int age = percent == 0 ? 0 : (int) (now - load.speed().workStatedAt());
      schedule(
          REPORT_AGE_MILLIS,
          () -> {
            for (Router other : routers) {
              if (other != router) {
                TargetLoad view = other.targets.get(target);
                view.onPeerReport(router.name, tokens, requests, now);
                view.speed().onPeerReport(router.name, permille, samples, percent, age, now);
              }
            }
          });
    }
    List<Integer> sentTo = List.copyOf(router.sentTo);
    List<Prompt> prompts = List.copyOf(router.prompts);
    router.sentTo.clear();
    router.prompts.clear();
    schedule(
        REPORT_AGE_MILLIS,
        () -> {
          for (Router other : routers) {
            if (other != router) {
              for (int i = 0; i < prompts.size(); i++) {
                TargetLoad view = other.targets.get(sentTo.get(i));
                view.speed().onPeerSent(view.uncachedTokens(prompts.get(i)));
                view.onPeerSent(prompts.get(i));
              }
            }
          }
        });
    schedule(REPORT_MILLIS, () -> report(router));
  }
}

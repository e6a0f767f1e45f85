package org.almondslip.pace;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Tests the bound on requests to a cold target with routers that do not hear each other. */
class ColdBoundTest {

  private static final long START = 10_000;

  /** Duration of a run in milliseconds, shorter than the cold period. */
  private static final long DURATION_MILLIS = 7_000;

  private static final long STEP_MILLIS = 10;

  private static final double PER_SECOND = 10;

  /** Maximum number of requests within a second: 10 x 1.5 + 5. */
  private static final int BOUND = 20;

  /** Router of a simulated fleet that always has requests for the target. */
  private static final class Router {
    private final String name;

    private final Set<String> list;

    private FleetPace fleet;

    private TargetPace target;

    private Router(String name, Set<String> list) {
      this.name = name;
      this.list = list;
      fleet = TargetPaceTest.fleet(name, list, PER_SECOND);
      target = fleet.create(TargetPaceTest.record(1, 0), true, START);
    }

    /** Forgets everything and reads list and entry again. */
    private void restart(long now) {
      fleet = TargetPaceTest.fleet(name, Set.of(), PER_SECOND);
      fleet.onRouters(list, now);
      target = fleet.create(TargetPaceTest.record(1, START + 8_000 - now), false, now);
    }
  }

  /**
   * Guards against a cold target that crashes since each router of a large fleet sends its share,
   * since routers restart, or since their lists differ by a router that has just joined or left.
   */
  @Property(seed = "20261206", tries = 60)
  void requestsStayBelowTheBound(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed, @ForAll boolean listsDiffer) {
    Random random = new Random(seed);
    int size = new int[] {2, 27, 410}[random.nextInt(3)];
    // Slow connections let permits expire, which would hide a mean rate that is too high.
    int maxConnectMillis = random.nextBoolean() ? 1 : 700;
    List<Router> routers = fleet(size, listsDiffer, random);
    List<Long> sent = new ArrayList<>();
    for (long now = START; now < START + DURATION_MILLIS; now += STEP_MILLIS) {
      for (Router router : routers) {
        if (random.nextInt(20_000) < STEP_MILLIS) {
          router.restart(now);
        }
        send(router, now, sent, random.nextInt(maxConnectMillis));
      }
    }
    sent.sort(null);
    for (int i = 0, first = 0; i < sent.size(); i++) {
      while (sent.get(i) - sent.get(first) > 1_000) {
        first++;
      }
      assertThat(i - first + 1).isLessThanOrEqualTo(BOUND);
    }
    double limit = listsDiffer ? 1.25 * PER_SECOND : PER_SECOND;
    assertThat(sent.size() * 1_000.0 / DURATION_MILLIS).isLessThanOrEqualTo(limit);
  }

  /** Guards against a cold target that gets clearly less than it tolerates. */
  @Test
  void mostOfTheToleratedRateIsUsed() {
    for (int size : new int[] {3, 27, 410}) {
      List<Long> sent = new ArrayList<>();
      List<Router> routers = fleet(size, false, new Random(1));
      for (long now = START; now < START + DURATION_MILLIS; now += STEP_MILLIS) {
        for (Router router : routers) {
          send(router, now, sent, 0);
        }
      }
      assertThat(sent.size() * 1_000.0 / DURATION_MILLIS).isGreaterThan(PER_SECOND * 0.85);
    }
  }

  /** Guards against a plan above the bound for settings without an allowance. */
  @Test
  void planKeepsOneRouterTooManyBelowTheBound() {
    for (double perSecond : new double[] {0.2, 1, 3, 10, 200}) {
      for (double bound : new double[] {2, 5, 10, 20, 305}) {
        ColdPlan plan = ColdPlan.of(perSecond, bound, 27);
        long perRouter = 1_500 / plan.intervalMillis() + 1;
        assertThat((plan.routers() + 1) * perRouter).isLessThanOrEqualTo((long) bound);
        assertThat(plan.routers() * 1_000.0 / plan.intervalMillis()).isLessThanOrEqualTo(perSecond);
      }
    }
    assertThat(ColdPlan.of(10, BOUND, 27)).isEqualTo(new ColdPlan(4, 400));
    assertThat(ColdPlan.of(0.5, 5.75, 27)).isEqualTo(new ColdPlan(1, 2_000));
  }

  /** Creates a fleet, in which the lists of half of the routers may lack one router. */
  private static List<Router> fleet(int size, boolean listsDiffer, Random random) {
    Set<String> complete = new HashSet<>();
    for (int i = 0; i < size; i++) {
      complete.add("router-" + i);
    }
    Set<String> partial = new HashSet<>(complete);
    partial.remove("router-" + random.nextInt(size));
    List<Router> routers = new ArrayList<>();
    for (String name : complete) {
      routers.add(new Router(name, listsDiffer && random.nextBoolean() ? partial : complete));
    }
    return routers;
  }

  /** Sends as many requests as the router may, which arrive after the time for connecting. */
  private static void send(Router router, long now, List<Long> sent, int connectMillis) {
    while (router.target.waitMillis(now) == 0) {
      router.target.takePermit(now);
      ColdPermit permit = router.target.permit(now);
      long arrival = now + connectMillis;
      if (router.target.allows(permit, arrival)) {
        sent.add(arrival);
      }
    }
  }
}

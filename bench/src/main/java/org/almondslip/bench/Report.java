package org.almondslip.bench;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.HdrHistogram.Histogram;
import org.almondslip.accounting.DigestSettings;
import org.almondslip.accounting.FairnessBound;
import org.almondslip.bench.deployment.Deployment;
import org.almondslip.bench.deployment.Organisation;
import org.almondslip.bench.deployment.Pool;
import org.almondslip.bench.load.Tally;
import org.almondslip.bench.measure.FairnessGap;
import org.almondslip.bench.measure.FleetSnapshot;
import org.almondslip.bench.measure.PoolSampler;
import org.almondslip.bench.measure.RunCheck;

/** Result of an experiment as JSON. */
final class Report {

  /** Fan-out of the digest tree. */
  private static final int FAN_OUT = 3;

  /** What agents add to the account of offers from other regions, in milliseconds. */
  private static final long LOCALITY_SLACK_MILLIS = 0;

  /** Requests that an agent may hold for each slot: one that runs and one granted ahead. */
  private static final int GRANTED_AHEAD = 2;

  /** Metric of the agents that counts the bytes of inner connections by kind. */
  private static final String AGENT_BYTES = "almondslip_agent_inner_bytes_total";

  /** Factor by which values are rounded. */
  private static final double ROUNDING = 1000.0;

  /** Deployment. */
  private final Deployment deployment;

  /** Fields. */
  private final ObjectNode json = JsonNodeFactory.instance.objectNode();

  /**
   * Creates an empty report.
   *
   * @param deployment the deployment
   * @param seed the seed of the load
   */
  Report(Deployment deployment, long seed) {
    this.deployment = deployment;
    json.put("deployment", deployment.name()).put("seed", seed);
  }

  /**
   * Returns the fields.
   *
   * @return the JSON form
   */
  ObjectNode toJson() {
    return json;
  }

  /**
   * Adds the counts of loads.
   *
   * @param tallies the counts of all loads that went through the fleet
   * @return this
   */
  Report withCounts(Iterable<Tally> tallies) {
    int offered = 0;
    int completed = 0;
    int lost = 0;
    int refused = 0;
    ObjectNode byCode = JsonNodeFactory.instance.objectNode();
    ObjectNode wrong = JsonNodeFactory.instance.objectNode();
    for (Tally tally : tallies) {
      offered += tally.offered();
      completed += tally.completed();
      lost += tally.lost() + tally.outstanding();
      for (var entry : tally.refused().entrySet()) {
        refused += entry.getValue();
        byCode.put(entry.getKey(), byCode.path(entry.getKey()).asInt() + entry.getValue());
      }
      tally.wrong().forEach((v, n) -> wrong.put(v.name(), wrong.path(v.name()).asInt() + n));
    }
    json.put("offered", offered).put("completed", completed).put("refused", refused);
    json.put("lost", lost).set("refused_by_code", byCode);
    json.set("wrong_answers", wrong);
    return this;
  }

  /**
   * Adds the comparison of recorded runs and answers.
   *
   * @param check the comparison
   * @return this
   */
  Report withRuns(RunCheck check) {
    json.put("duplicated", check.duplicated());
    json.put("completed_without_run", check.completedWithoutRun());
    json.put("ran_although_refused", check.ranAlthoughRefused());
    return this;
  }

  /**
   * Adds fairness and utilisation.
   *
   * @param run the phase in which all organisations were backlogged
   * @return this
   */
  Report withFairness(LoadRun.Result run) {
    double busy = 0;
    double idle = 0;
    double worst = -1;
    ObjectNode pools = JsonNodeFactory.instance.objectNode();
    for (Map.Entry<Pool, PoolSampler> entry : run.samplers().entrySet()) {
      PoolSampler sampler = entry.getValue();
      var window = sampler.window(run.windowStart(), run.windowEnd());
      FairnessGap gap = FairnessGap.of(window, shares());
      double bound = bound(entry.getKey());
      ObjectNode pool = pools.putObject(entry.getKey().name());
      pool.put("fairness_gap", round(gap.millis())).put("fairness_bound", round(bound));
      pool.put("backlogged_organisations", gap.organisations().size());
      pool.put("samples", window.size());
      ArrayNode byTarget = pool.putArray("busy_slots_by_target");
      Arrays.stream(sampler.busyByTarget()).forEach(slots -> byTarget.add(round(slots)));
      pool.put("utilisation", utilisation(sampler.busy(), sampler.idleWhileWaiting()));
      busy += sampler.busy();
      idle += sampler.idleWhileWaiting();
      if (gap.millis() / bound > worst) {
        worst = gap.millis() / bound;
        json.put("fairness_gap", round(gap.millis())).put("fairness_bound", round(bound));
      }
    }
    double sampled = utilisation(busy, idle);
    json.put("utilisation_sampled", sampled);
    json.put("utilisation", fleetUtilisation(run).orElse(sampled));
    json.set("pools", pools);
    return this;
  }

  /**
   * Adds latencies of streams.
   *
   * @param name the name of the field
   * @param histogram the latencies in microseconds
   * @return this
   */
  Report withLatency(String name, Histogram histogram) {
    ObjectNode field = json.putObject(name);
    for (int percentile : new int[] {50, 95, 99}) {
      field.put("p" + percentile, histogram.getValueAtPercentile(percentile) / ROUNDING);
    }
    return this;
  }

  /**
   * Adds a number.
   *
   * @param name the name of the field
   * @param value the number
   * @return this
   */
  Report with(String name, double value) {
    json.put(name, round(value));
    return this;
  }

  /**
   * Adds traffic, processor time and memory of routers and agents.
   *
   * @param before the snapshot before the load
   * @param after the snapshot after the load
   * @return this
   */
  Report withCosts(FleetSnapshot before, FleetSnapshot after) {
    double seconds = after.secondsSince(before);
    int nodes = Math.max(1, after.metrics().size());
    double control =
        after.growth(before, "almondslip_control_bytes")
            + after.growth(before, AGENT_BYTES + "{kind=\"control\"}");
    double crossRegion =
        after.growth(before, "almondslip_cross_region_bytes")
            + after.growth(before, AGENT_BYTES + "{kind=\"cross_region_sent\"}");
    json.put("control_bytes_per_second_per_node", round(control / seconds / nodes));
    json.put("cross_region_bytes", crossRegion);
    json.put("router_cpu_cores", round(after.coresPerProcess(before, "router")));
    json.put("agent_cpu_cores", round(after.coresPerProcess(before, "agent")));
    ObjectNode memory = json.putObject("rss_mb");
    memory.put("router", round(after.maxResidentMb("router")));
    memory.put("agent", round(after.maxResidentMb("agent")));
    return this;
  }

  /**
   * Returns the bound of the fairness gap when no wave is lost.
   *
   * @param pool the pool
   * @return the bound in milliseconds of slot time per unit of share
   */
  private double bound(Pool pool) {
    int smallest =
        deployment.organisations().stream().mapToInt(Organisation::share).min().orElse(1);
    int height = 0;
    for (int rest = deployment.agents().size(); rest > 1; rest /= FAN_OUT) {
      height++;
    }
    long delay = FairnessBound.delayMillis(DigestSettings.DEFAULT, height, 0);
    long cost = (long) pool.maxCostMillis();
    return new FairnessBound(
            pool.targets(),
            GRANTED_AHEAD * pool.slots(),
            cost,
            smallest,
            DigestSettings.DEFAULT.intervalMillis(),
            delay,
            LOCALITY_SLACK_MILLIS)
        .chargeGapMillis();
  }

  /**
   * Returns the shares of all organisations.
   *
   * @return the share by organisation
   */
  private Map<String, Integer> shares() {
    Map<String, Integer> shares = new LinkedHashMap<>();
    deployment.organisations().forEach(each -> shares.put(each.name(), each.share()));
    return shares;
  }

  /**
   * Returns the part of the slot time that was busy by the metrics of the agents.
   *
   * @param run the phase in which all organisations were backlogged
   * @return the part, or empty when no agent reports slot time
   */
  private static OptionalDouble fleetUtilisation(LoadRun.Result run) {
    double busy = run.after().growth(run.before(), "almondslip_agent_slot_busy_seconds");
    double idle = run.after().growth(run.before(), "almondslip_agent_slot_idle_waiting_seconds");
    return busy + idle == 0 ? OptionalDouble.empty() : OptionalDouble.of(utilisation(busy, idle));
  }

  /**
   * Returns the part of the slot time that was busy.
   *
   * @param busy slots that were busy
   * @param idle slots that were idle while a request was waiting
   * @return the part, 0 when nothing was measured
   */
  private static double utilisation(double busy, double idle) {
    return busy + idle == 0 ? 0 : round(busy / (busy + idle));
  }

  /**
   * Rounds a value to three decimals.
   *
   * @param value the value
   * @return the rounded value
   */
  private static double round(double value) {
    return Math.round(value * ROUNDING) / ROUNDING;
  }
}

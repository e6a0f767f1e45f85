package org.almondslip.bench.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.almondslip.bench.deployment.Deployment;
import org.almondslip.bench.deployment.Organisation;
import org.almondslip.bench.deployment.Pool;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Draws the requests of a phase: Poisson arrivals, independent of the answers. */
public final class LoadPlan {

  /** Milliseconds in a second. */
  private static final double MILLIS_PER_SECOND = 1000;

  /** Deployment whose organisations send. */
  private final Deployment deployment;

  /** Source of random numbers. */
  private final UniformRandomProvider random;

  /** Number of the next request. */
  private int next;

  /**
   * Creates a plan.
   *
   * @param deployment the deployment whose organisations send
   * @param seed the seed of the random numbers
   * @param firstNumber the number of the first request; plans of one experiment must not share
   *     numbers, else their orders would look like repeated ones
   */
  public LoadPlan(Deployment deployment, long seed, int firstNumber) {
    this.deployment = deployment;
    this.next = firstNumber;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /**
   * Draws the requests of a phase.
   *
   * @param phase the phase
   * @return the requests in the order of their times
   */
  public List<PlannedRequest> draw(Phase phase) {
    List<PlannedRequest> requests = new ArrayList<>();
    for (Pool pool : deployment.pools()) {
      for (Organisation organisation : deployment.organisations()) {
        double perSecond = pool.requestsPerSecond() * phase.load() * part(organisation, phase);
        burst(requests, pool, organisation, phase);
        arrivals(requests, pool, organisation, phase, perSecond);
      }
    }
    requests.sort(Comparator.comparingLong(PlannedRequest::atMillis));
    return requests;
  }

  /**
   * Returns the part of the load that an organisation sends.
   *
   * @param organisation the organisation
   * @param phase the phase
   * @return the part; parts sum to 1 unless an organisation floods
   */
  private double part(Organisation organisation, Phase phase) {
    boolean floods = phase.flood().filter(organisation.name()::equals).isPresent();
    return weight(organisation, phase) * (floods ? Phase.FLOOD_FACTOR : 1);
  }

  /**
   * Returns the part of the load that an organisation sends when it does not flood.
   *
   * @param organisation the organisation
   * @param phase the phase
   * @return the part; all parts sum to 1
   */
  private double weight(Organisation organisation, Phase phase) {
    double sum = 0;
    for (Organisation each : deployment.organisations()) {
      sum += phase.byShare() ? each.share() : each.demand();
    }
    return (phase.byShare() ? organisation.share() : organisation.demand()) / sum;
  }

  /**
   * Adds the burst at the start of a phase.
   *
   * @param requests receives the requests
   * @param pool the pool
   * @param organisation the organisation
   * @param phase the phase
   */
  private void burst(
      List<PlannedRequest> requests, Pool pool, Organisation organisation, Phase phase) {
    double mean = pool.requestsPerSecond() * weight(organisation, phase);
    long count = Math.round(Math.ceil(mean * phase.burstMillis() / MILLIS_PER_SECOND));
    for (long i = 0; i < count; i++) {
      requests.add(request(pool, organisation, 0));
    }
  }

  /**
   * Adds Poisson arrivals.
   *
   * @param requests receives the requests
   * @param pool the pool
   * @param organisation the organisation
   * @param phase the phase
   * @param perSecond the mean arrivals per second
   */
  private void arrivals(
      List<PlannedRequest> requests,
      Pool pool,
      Organisation organisation,
      Phase phase,
      double perSecond) {
    double time = 0;
    while (perSecond > 0) {
      time -= Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / perSecond;
      if (time >= phase.millis()) {
        return;
      }
      requests.add(request(pool, organisation, (long) time));
    }
  }

  /**
   * Draws a request.
   *
   * @param pool the pool
   * @param organisation the organisation
   * @param atMillis when to send it
   * @return the request
   */
  private PlannedRequest request(Pool pool, Organisation organisation, long atMillis) {
    int ticket = random.nextInt(100);
    for (RequestKind kind : RequestKind.values()) {
      if (kind.isModel() == pool.isModel()) {
        ticket -= kind.frequency();
        if (ticket < 0) {
          return new PlannedRequest(next++, atMillis, organisation.name(), kind, pool.name());
        }
      }
    }
    throw new IllegalStateException("the frequencies of the kinds do not sum to 100");
  }
}

package org.almondslip.dispatch;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Divides the capacity of a service evenly among its organisations.
 *
 * <p>Each router computes the max-min fair share from the demand and the service of all routers: no
 * organisation gets more than it requests, and all that request more than the even share get the
 * same amount. Overserved organisations leave a fraction of the capacity of each target to the
 * others (trunk reservation). They are never blocked entirely: an organisation may be underserved
 * for reasons that idle targets cannot help with, such as a router that cannot send its requests.
 */
final class FairShare {

  /** Interval between two computations of the share, in milliseconds. */
  private static final long RECOMPUTE_INTERVAL_MILLIS = 20;

  /**
   * Fraction of the demand that is served while no organisation lacks capacity; the rest is
   * requests that have just arrived.
   */
  private static final double UNCONTENDED_FRACTION = 0.85;

  /** Fraction of its share below which an organisation is underserved. */
  private static final double UNDERSERVED_FRACTION = 0.75;

  /** Multiple of the even share above which an organisation is overserved. */
  private static final double OVERSERVED_FACTOR = 1.15;

  /** Tolerated deviation from the share, in requests of mean size. */
  private static final double TOLERATED_REQUESTS = 2;

  /** Weight of a new request in the mean request size. */
  private static final double MEAN_WEIGHT = 0.05;

  /** Usage by organisation. */
  private final Map<String, OrganisationUsage> usages = new HashMap<>();

  /** Moving average of the request size in tokens. */
  private double meanRequestTokens;

  /** Even share in tokens, infinite while no organisation lacks capacity. */
  private double evenShare = Double.POSITIVE_INFINITY;

  private boolean anyUnderserved;

  private boolean computed;

  /** Time of the last computation in milliseconds. */
  private long computedAt;

  /**
   * Records a request at this router.
   *
   * @param organisation the name of the organisation
   * @param tokens the cost of the request in tokens
   * @param now the current time in milliseconds
   */
  void onRequested(String organisation, long tokens, long now) {
    meanRequestTokens += (meanRequestTokens == 0 ? 1 : MEAN_WEIGHT) * (tokens - meanRequestTokens);
    usage(organisation).onRequested(tokens, now);
  }

  /**
   * Records a request that this router sent to a target.
   *
   * @param organisation the name of the organisation
   * @param tokens the cost of the request in tokens
   * @param now the current time in milliseconds
   */
  void onServed(String organisation, long tokens, long now) {
    usage(organisation).onServed(tokens, now);
  }

  /**
   * Records demand and service at another router.
   *
   * @param organisation the name of the organisation
   * @param requestedTokens the tokens requested
   * @param servedTokens the tokens served
   * @param now the current time in milliseconds
   */
  void onPeerUsage(String organisation, long requestedTokens, long servedTokens, long now) {
    usage(organisation).onPeerUsage(requestedTokens, servedTokens, now);
  }

  /**
   * Returns the recent service of an organisation across all routers.
   *
   * @param organisation the name of the organisation
   * @param now the current time in milliseconds
   * @return the decayed sum of tokens, 0 if the organisation is unknown
   */
  double servedTokens(String organisation, long now) {
    OrganisationUsage usage = usages.get(organisation);
    return usage == null ? 0 : usage.served(now);
  }

  /**
   * Compares the service of an organisation with its share.
   *
   * @param organisation the name of the organisation
   * @param now the current time in milliseconds
   * @return the status, {@link ShareStatus#EVEN} if the organisation is unknown
   */
  ShareStatus status(String organisation, long now) {
    refresh(now);
    OrganisationUsage usage = usages.get(organisation);
    if (usage == null || Double.isInfinite(evenShare)) {
      return ShareStatus.EVEN;
    }
    if (isUnderserved(usage, now)) {
      return ShareStatus.UNDERSERVED;
    }
    return anyUnderserved && usage.served(now) > evenShare * OVERSERVED_FACTOR + toleranceTokens()
        ? ShareStatus.OVERSERVED
        : ShareStatus.EVEN;
  }

  /**
   * Estimates how long the share of an organisation takes to cover jobs that wait at this router.
   *
   * @param organisation the name of the organisation
   * @param tokens the cost of the waiting jobs in tokens
   * @param now the current time in milliseconds
   * @return the time in milliseconds, 0 while no organisation lacks capacity
   */
  double waitMillis(String organisation, long tokens, long now) {
    refresh(now);
    if (Double.isInfinite(evenShare)) {
      return 0;
    }
    OrganisationUsage usage = usage(organisation);
    // After a period without service, the measured share understates what targets can serve.
    double shareTokens = Math.max(evenShare, toleranceTokens());
    double tokensPerMilli = shareTokens / OrganisationUsage.DECAY_MILLIS * usage.localFraction(now);
    double excessMillis =
        OrganisationUsage.DECAY_MILLIS
            * Math.log(Math.max(1, usage.served(now) / (evenShare + toleranceTokens())));
    return tokens / Math.max(tokensPerMilli, Double.MIN_NORMAL) + excessMillis;
  }

  /**
   * Returns the even share of an organisation.
   *
   * @param now the current time in milliseconds
   * @return the share in tokens, infinite while no organisation lacks capacity
   */
  double evenShare(long now) {
    refresh(now);
    return evenShare;
  }

  /**
   * Returns the number of underserved organisations.
   *
   * @param now the current time in milliseconds
   * @return the number of organisations, 0 while none lacks capacity
   */
  int underservedOrganisations(long now) {
    refresh(now);
    return Double.isInfinite(evenShare)
        ? 0
        : (int) usages.values().stream().filter(usage -> isUnderserved(usage, now)).count();
  }

  /**
   * Removes organisations without recent requests.
   *
   * @param now the current time in milliseconds
   */
  void prune(long now) {
    usages.values().removeIf(usage -> usage.isNegligible(now));
  }

  /** Recomputes the share unless the last computation is recent. */
  private void refresh(long now) {
    if (computed && now - computedAt < RECOMPUTE_INTERVAL_MILLIS) {
      return;
    }
    computed = true;
    computedAt = now;
    double[] requested = usages.values().stream().mapToDouble(u -> u.requested(now)).toArray();
    double served = usages.values().stream().mapToDouble(u -> u.served(now)).sum();
    evenShare = maxMinShare(requested, served);
    anyUnderserved =
        !Double.isInfinite(evenShare)
            && usages.values().stream().anyMatch(usage -> isUnderserved(usage, now));
  }

  /**
   * Computes the max-min fair share.
   *
   * @param requested the tokens that each organisation requested
   * @param served the tokens that all organisations were served in total
   * @return the maximum for one organisation, infinite if none lacks capacity
   */
  static double maxMinShare(double[] requested, double served) {
    double[] sorted = requested.clone();
    Arrays.sort(sorted);
    if (served >= Arrays.stream(sorted).sum() * UNCONTENDED_FRACTION) {
      return Double.POSITIVE_INFINITY;
    }
    double remaining = served;
    for (int i = 0; i < sorted.length; i++) {
      double even = remaining / (sorted.length - i);
      if (sorted[i] >= even) {
        return even;
      }
      remaining -= sorted[i];
    }
    return Double.POSITIVE_INFINITY;
  }

  /** Returns whether an organisation was served clearly less than its share. */
  private boolean isUnderserved(OrganisationUsage usage, long now) {
    double share = Math.min(usage.requested(now), evenShare);
    double served = usage.served(now);
    return served < share * UNDERSERVED_FRACTION && share - served > toleranceTokens();
  }

  /** Returns the deviation from the share that is always tolerated, in tokens. */
  private double toleranceTokens() {
    return meanRequestTokens * TOLERATED_REQUESTS;
  }

  private OrganisationUsage usage(String organisation) {
    return usages.computeIfAbsent(organisation, name -> new OrganisationUsage());
  }
}

package org.almondslip.dispatch;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/** Token counts of the jobs at this router by service, organisation and outcome. */
public final class DispatchStatistics {

  /** Counts by service and organisation. */
  private final Map<Owner, Counts> counts = new HashMap<>();

  /** Sends that were held back for other organisations, by service. */
  private final Map<String, Long> heldBack = new HashMap<>();

  /** Sends that were withheld since targets lacked memory, by service. */
  private final Map<String, Long> withheldForMemory = new HashMap<>();

  /**
   * Service and organisation that jobs belong to.
   *
   * @param service the name of the service
   * @param organisation the name of the organisation, empty for jobs without one
   */
  public record Owner(String service, String organisation) {}

  /** Tokens of the jobs of one organisation for one service since the start of the process. */
  public static final class Counts {
    private long requestedTokens;

    private long sentTokens;

    private final Map<RefusalReason, Long> refusedTokens = new EnumMap<>(RefusalReason.class);

    /**
     * Returns the tokens of all jobs.
     *
     * @return the number of tokens
     */
    public long requestedTokens() {
      return requestedTokens;
    }

    /**
     * Returns the tokens of the jobs that were sent to a target.
     *
     * @return the number of tokens
     */
    public long sentTokens() {
      return sentTokens;
    }

    /**
     * Returns the tokens of refused jobs.
     *
     * @return the number of tokens by reason, without reasons that did not occur
     */
    public Map<RefusalReason, Long> refusedTokens() {
      return refusedTokens;
    }
  }

  /**
   * Returns the token counts.
   *
   * @return the counts by service and organisation
   */
  public Map<Owner, Counts> counts() {
    return counts;
  }

  /**
   * Returns how often a send was held back to reserve capacity for other organisations.
   *
   * @return the number of times by service
   */
  public Map<String, Long> heldBack() {
    return heldBack;
  }

  /**
   * Returns how often a send was withheld since the available targets lacked memory for it.
   *
   * @return the number of times by service
   */
  public Map<String, Long> withheldForMemory() {
    return withheldForMemory;
  }

  /**
   * Counts a send that is withheld since the available targets lack memory for it.
   *
   * @param service the name of the service
   */
  void onWithheldForMemory(String service) {
    withheldForMemory.merge(service, 1L, Long::sum);
  }

  /**
   * Counts a submitted job.
   *
   * @param service the name of the service
   * @param organisation the name of the organisation
   * @param tokens the cost of the job in tokens
   */
  void onRequested(String service, String organisation, long tokens) {
    countsOf(service, organisation).requestedTokens += tokens;
  }

  /**
   * Counts a job that is sent to a target.
   *
   * @param service the name of the service
   * @param organisation the name of the organisation
   * @param tokens the cost of the job in tokens
   */
  void onSent(String service, String organisation, long tokens) {
    countsOf(service, organisation).sentTokens += tokens;
  }

  /**
   * Counts a refused job.
   *
   * @param service the name of the service
   * @param organisation the name of the organisation
   * @param reason why the job is refused
   * @param tokens the cost of the job in tokens
   */
  void onRefused(String service, String organisation, RefusalReason reason, long tokens) {
    countsOf(service, organisation).refusedTokens.merge(reason, tokens, Long::sum);
  }

  /**
   * Counts a send that is held back for other organisations.
   *
   * @param service the name of the service
   */
  void onHeldBack(String service) {
    heldBack.merge(service, 1L, Long::sum);
  }

  private Counts countsOf(String service, String organisation) {
    return counts.computeIfAbsent(new Owner(service, organisation), owner -> new Counts());
  }
}

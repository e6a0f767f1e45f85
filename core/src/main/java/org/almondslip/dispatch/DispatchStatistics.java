package org.almondslip.dispatch;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/** Counts the tokens that organisations asked for and what became of them at this router. */
public final class DispatchStatistics {

  /** Counts by service and organisation. */
  private final Map<Owner, Counts> counts = new HashMap<>();

  /** Sends that were held back for other organisations, by service. */
  private final Map<String, Long> heldBack = new HashMap<>();

  /**
   * Service and organisation of jobs.
   *
   * @param service the name of the service
   * @param organisation the name of the organisation, empty for jobs without one
   */
  public record Owner(String service, String organisation) {}

  /** Tokens of the jobs of one organisation for one service, since the start of the process. */
  public static final class Counts {
    /** Tokens of all jobs. */
    private long asked;

    /** Tokens of the jobs that were sent to a target. */
    private long sent;

    /** Tokens of refused jobs. */
    private final Map<RefusalReason, Long> refused = new EnumMap<>(RefusalReason.class);

    /**
     * Returns the tokens of all jobs.
     *
     * @return the tokens
     */
    public long requestedTokens() {
      return asked;
    }

    /**
     * Returns the tokens of the jobs that were sent to a target.
     *
     * @return the tokens
     */
    public long sentTokens() {
      return sent;
    }

    /**
     * Returns the tokens of refused jobs.
     *
     * @return the tokens by reason
     */
    public Map<RefusalReason, Long> refusedTokens() {
      return refused;
    }
  }

  /**
   * Returns the counts.
   *
   * @return the counts by service and organisation
   */
  public Map<Owner, Counts> counts() {
    return counts;
  }

  /**
   * Returns how often a send was held back for other organisations.
   *
   * @return the number by service
   */
  public Map<String, Long> heldBack() {
    return heldBack;
  }

  /**
   * Counts a new job.
   *
   * @param service the name of the service
   * @param organisation the name of the organisation
   * @param tokens the cost of the job in tokens
   */
  void onAsked(String service, String organisation, long tokens) {
    of(service, organisation).asked += tokens;
  }

  /**
   * Counts a job that is sent.
   *
   * @param service the name of the service
   * @param organisation the name of the organisation
   * @param tokens the cost of the job in tokens
   */
  void onSent(String service, String organisation, long tokens) {
    of(service, organisation).sent += tokens;
  }

  /**
   * Counts a job that is refused.
   *
   * @param service the name of the service
   * @param organisation the name of the organisation
   * @param reason why it is refused
   * @param tokens the cost of the job in tokens
   */
  void onRefused(String service, String organisation, RefusalReason reason, long tokens) {
    of(service, organisation).refused.merge(reason, tokens, Long::sum);
  }

  /**
   * Counts a send that is held back.
   *
   * @param service the name of the service
   */
  void onHeldBack(String service) {
    heldBack.merge(service, 1L, Long::sum);
  }

  /**
   * Returns the counts of an organisation.
   *
   * @param service the name of the service
   * @param organisation the name of the organisation
   * @return the counts
   */
  private Counts of(String service, String organisation) {
    return counts.computeIfAbsent(new Owner(service, organisation), owner -> new Counts());
  }
}

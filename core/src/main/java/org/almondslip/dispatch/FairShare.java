package org.almondslip.dispatch;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Shares the service of a fleet evenly among the organisations of one service.
 *
 * <p>Each router computes the max-min fair share from what all routers were asked for and gave: no
 * organisation gets more than it asks for, and those that ask for more than the even share get the
 * same. Organisations that received more leave a part of the room of each target to those that
 * received less (trunk reservation). They are never held back altogether: an organisation may be
 * underserved for reasons that idle targets do not help, such as a router that cannot send its
 * requests.
 */
final class FairShare {

  /** Interval in which the share is computed anew, in milliseconds. */
  private static final long INTERVAL_MILLIS = 20;

  /**
   * Part of what is asked for that is given while nobody goes short; the rest are requests that
   * have just arrived.
   */
  private static final double UNCONTESTED_PART = 0.85;

  /** Part of its share below which an organisation is underserved. */
  private static final double UNDERSERVED_PART = 0.75;

  /** Part of its share above which an organisation is overserved. */
  private static final double OVERSERVED_PART = 1.15;

  /** Mean requests by which an organisation may differ from its share in any case. */
  private static final double SLACK_REQUESTS = 2;

  /** Weight of a new request in the mean. */
  private static final double MEAN_WEIGHT = 0.05;

  /** Accounts by organisation. */
  private final Map<String, Account> accounts = new HashMap<>();

  /** Mean tokens of a request. */
  private double meanTokens;

  /** Even share in tokens, infinite while nobody goes short. */
  private double level = Double.POSITIVE_INFINITY;

  /** Whether an organisation is underserved. */
  private boolean anyUnderserved;

  /** Whether the share was computed. */
  private boolean computed;

  /** Time at which the share was computed, in milliseconds. */
  private long computedAt;

  /**
   * Notes a request at this router.
   *
   * @param organisation the name of the organisation
   * @param tokens the tokens
   * @param now the current time in milliseconds
   */
  void onAsked(String organisation, long tokens, long now) {
    meanTokens += (meanTokens == 0 ? 1 : MEAN_WEIGHT) * (tokens - meanTokens);
    account(organisation).onAsked(tokens, now);
  }

  /**
   * Notes service of this router.
   *
   * @param organisation the name of the organisation
   * @param tokens the tokens
   * @param now the current time in milliseconds
   */
  void onGiven(String organisation, long tokens, long now) {
    account(organisation).onGiven(tokens, now);
  }

  /**
   * Notes requests at another router and its service.
   *
   * @param organisation the name of the organisation
   * @param asked the tokens asked for
   * @param given the tokens given
   * @param now the current time in milliseconds
   */
  void onPeer(String organisation, long asked, long given, long now) {
    account(organisation).onPeer(asked, given, now);
  }

  /**
   * Returns the service of an organisation.
   *
   * @param organisation the name of the organisation
   * @param now the current time in milliseconds
   * @return the tokens that all routers gave lately
   */
  double given(String organisation, long now) {
    Account account = accounts.get(organisation);
    return account == null ? 0 : account.given(now);
  }

  /**
   * Returns how an organisation compares with its share.
   *
   * @param organisation the name of the organisation
   * @param now the current time in milliseconds
   * @return the standing
   */
  Standing standing(String organisation, long now) {
    refresh(now);
    Account account = accounts.get(organisation);
    if (account == null || Double.isInfinite(level)) {
      return Standing.EVEN;
    }
    if (isUnderserved(account, now)) {
      return Standing.UNDERSERVED;
    }
    return anyUnderserved && account.given(now) > level * OVERSERVED_PART + slack()
        ? Standing.OVERSERVED
        : Standing.EVEN;
  }

  /**
   * Returns the time in which the share of an organisation covers jobs that wait at this router.
   *
   * @param organisation the name of the organisation
   * @param tokens the tokens of the jobs
   * @param now the current time in milliseconds
   * @return the time in milliseconds, 0 while nobody goes short
   */
  double waitMillis(String organisation, long tokens, long now) {
    refresh(now);
    if (Double.isInfinite(level)) {
      return 0;
    }
    Account account = account(organisation);
    // After a time without service the share is no measure of what targets can do.
    double covered = Math.max(level, slack());
    double perMilli = covered / Account.WINDOW_MILLIS * account.partHere(now);
    double debtMillis =
        Account.WINDOW_MILLIS * Math.log(Math.max(1, account.given(now) / (level + slack())));
    return tokens / Math.max(perMilli, Double.MIN_NORMAL) + debtMillis;
  }

  /**
   * Returns the even share.
   *
   * @param now the current time in milliseconds
   * @return the tokens, infinite while nobody goes short
   */
  double level(long now) {
    refresh(now);
    return level;
  }

  /**
   * Returns the number of underserved organisations.
   *
   * @param now the current time in milliseconds
   * @return the number
   */
  int underserved(long now) {
    refresh(now);
    return Double.isInfinite(level)
        ? 0
        : (int) accounts.values().stream().filter(account -> isUnderserved(account, now)).count();
  }

  /**
   * Forgets organisations that asked for nothing lately.
   *
   * @param now the current time in milliseconds
   */
  void prune(long now) {
    accounts.values().removeIf(account -> account.isForgotten(now));
  }

  /**
   * Computes the share when the last one is old.
   *
   * @param now the current time in milliseconds
   */
  private void refresh(long now) {
    if (computed && now - computedAt < INTERVAL_MILLIS) {
      return;
    }
    computed = true;
    computedAt = now;
    double[] asked = accounts.values().stream().mapToDouble(a -> a.asked(now)).toArray();
    double given = accounts.values().stream().mapToDouble(a -> a.given(now)).sum();
    level = evenShare(asked, given);
    anyUnderserved =
        !Double.isInfinite(level)
            && accounts.values().stream().anyMatch(account -> isUnderserved(account, now));
  }

  /**
   * Computes the max-min fair share.
   *
   * @param asked the tokens that each organisation asked for
   * @param given the tokens that all together were given
   * @return the most that an organisation gets, infinite when nobody goes short
   */
  static double evenShare(double[] asked, double given) {
    double[] sorted = asked.clone();
    Arrays.sort(sorted);
    if (given >= Arrays.stream(sorted).sum() * UNCONTESTED_PART) {
      return Double.POSITIVE_INFINITY;
    }
    double rest = given;
    for (int i = 0; i < sorted.length; i++) {
      double even = rest / (sorted.length - i);
      if (sorted[i] >= even) {
        return even;
      }
      rest -= sorted[i];
    }
    return Double.POSITIVE_INFINITY;
  }

  /**
   * Returns whether an organisation received clearly less than its share.
   *
   * @param account its account
   * @param now the current time in milliseconds
   * @return true when it did
   */
  private boolean isUnderserved(Account account, long now) {
    double share = Math.min(account.asked(now), level);
    double given = account.given(now);
    return given < share * UNDERSERVED_PART && share - given > slack();
  }

  /**
   * Returns by how much an organisation may differ from its share in any case.
   *
   * @return the tokens
   */
  private double slack() {
    return meanTokens * SLACK_REQUESTS;
  }

  /**
   * Returns the account of an organisation.
   *
   * @param organisation the name of the organisation
   * @return the account
   */
  private Account account(String organisation) {
    return accounts.computeIfAbsent(organisation, name -> new Account());
  }
}

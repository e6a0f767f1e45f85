package org.almondslip.dispatch;

import java.util.Collection;
import org.almondslip.placement.HeldTokens;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;
import org.almondslip.time.Clock;

/**
 * Decides whether an engine has memory for a request.
 *
 * <p>Addresses long prompts under high load: an engine crashes when the prompts and outputs of the
 * requests that it runs exceed its memory.
 */
final class TargetMemory {

  /**
   * Fraction of the memory of an engine above which a request is large and takes turns with those
   * of other routers. Smaller ones are bounded by the pending prefill and the slots: twelve of them
   * would have to reach the same idle target within one interval of reports. Turns delay requests,
   * so that the largest tenth of the prompts was served least.
   */
  static final double LARGE_FRACTION = 1.0 / 12;

  /** Fraction of the memory of an engine that a large request gets in a turn. */
  static final double PLACE_FRACTION = 1.0 / 8;

  private final Clock clock;

  private final boolean bounded;

  private final SendTurns turns = new SendTurns();

  /**
   * Creates the check.
   *
   * @param clock the source of time
   * @param bounded whether requests are sent only to targets that have memory for them
   */
  TargetMemory(Clock clock, boolean bounded) {
    this.clock = clock;
    this.bounded = bounded;
  }

  /**
   * Sets the routers of the fleet.
   *
   * @param self the name of this router
   * @param all the names of all routers
   */
  void setRouters(String self, Collection<String> all) {
    turns.setRouters(self, all);
  }

  /**
   * Returns whether a target has memory for a request. A request that never fits is permitted if
   * the target is idle.
   *
   * @param target the target
   * @param prompt the prompt of the request
   * @param now the current time in milliseconds
   */
  boolean permits(TargetLoad target, Prompt prompt, long now) {
    HeldTokens held = target.heldTokens();
    long tokens = HeldTokens.tokens(prompt);
    if (!bounded || held.limit() == 0 || tokens == 0) {
      return true;
    }
    boolean fits = tokens > held.limit() ? target.requests(now) == 0 : tokens <= held.free(now);
    return fits
        && (!isLarge(held, tokens)
            || turns.permits(
                target.incarnationKey(),
                tokens,
                held.free(now),
                (long) (held.limit() * PLACE_FRACTION),
                clock.wallMillis()));
  }

  /**
   * Records that a request is sent to a target.
   *
   * @param target the target
   * @param prompt the prompt of the request
   */
  void onSent(TargetLoad target, Prompt prompt) {
    long tokens = HeldTokens.tokens(prompt);
    if (isLarge(target.heldTokens(), tokens)) {
      turns.onSent(target.incarnationKey(), tokens, clock.wallMillis());
    }
  }

  private static boolean isLarge(HeldTokens held, long tokens) {
    return held.limit() > 0 && tokens > held.limit() * LARGE_FRACTION;
  }
}

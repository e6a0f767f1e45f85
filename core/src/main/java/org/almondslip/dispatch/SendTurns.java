package org.almondslip.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.almondslip.membership.RendezvousOrder;

/**
 * Divides the free memory of a target among the routers that may send it large prompts at the same
 * time.
 *
 * <p>Routers learn of each other's requests only when reports arrive. Without turns, all of them
 * would use the same free memory. In each turn the free memory is divided into places of the size
 * of a large prompt, which are assigned by rendezvous hash; a place can be used again when the
 * reports of its last use have arrived. Between two turns there is a gap in which the reports of
 * the last turn arrive. Turns are long beside the gap, since a caller waits through it.
 */
final class SendTurns {

  /** Duration of a turn with its gap, in milliseconds. */
  static final long TURN_MILLIS = 2_000;

  /**
   * Gap at the start of a turn and time after which a place can be used again, in milliseconds.
   * Reports between regions are sent every 180 ms, and the rest covers their transit and the
   * difference between the clocks of the routers.
   */
  static final long GAP_MILLIS = 250;

  /** One of so many turns is left to a single prompt that needs more than one place. */
  static final int OVERSIZED_INTERVAL = 8;

  /** Number of routers that is assumed before the list has been read. */
  private static final int ASSUMED_ROUTERS = 40;

  /** Number of targets above which the turns of targets that are not in use are forgotten. */
  private static final int MAX_TARGETS = 1_000;

  private String router = "";

  private List<String> others = assumedRouters();

  /** Latest turns by target. */
  private final Map<Long, Turn> turns = new HashMap<>();

  /**
   * Large prompt that was sent.
   *
   * @param tokens the tokens that the request holds
   * @param wallMillis the time since the Unix epoch in milliseconds
   */
  private record Sent(long tokens, long wallMillis) {}

  /** One turn of a target. */
  private static final class Turn {
    private final long number;

    /** Number of routers that come before this one. */
    private final int rank;

    /** Large prompts that this router has sent and that reports may not contain yet. */
    private final Deque<Sent> recent = new ArrayDeque<>();

    private Turn(long number, int rank) {
      this.number = number;
      this.rank = rank;
    }

    /** Returns the tokens of recent prompts, after the removal of those in reports. */
    private long recentTokens(long wallMillis) {
      while (!recent.isEmpty() && wallMillis - recent.peek().wallMillis() >= GAP_MILLIS) {
        recent.poll();
      }
      return recent.stream().mapToLong(Sent::tokens).sum();
    }

    /** Returns whether the turn is left to a prompt that needs more than one place. */
    private boolean isForOversized() {
      return Math.floorMod(number, OVERSIZED_INTERVAL) == 0;
    }
  }

  /**
   * Sets the routers of the fleet.
   *
   * @param self the name of this router
   * @param all the names of all routers
   */
  void setRouters(String self, Collection<String> all) {
    router = self;
    others = all.stream().filter(name -> !name.equals(self)).toList();
    turns.clear();
  }

  /**
   * Returns whether this router may send a large prompt now.
   *
   * @param target the incarnation key of the target
   * @param tokens the tokens that the request holds
   * @param free the free memory of the target in tokens
   * @param placeTokens the size of a place in tokens
   * @param wallMillis the time since the Unix epoch in milliseconds
   */
  boolean permits(long target, long tokens, long free, long placeTokens, long wallMillis) {
    if (others.isEmpty()) {
      return true;
    }
    if (Math.floorMod(phase(target, wallMillis), TURN_MILLIS) < GAP_MILLIS) {
      return false;
    }
    Turn turn = turn(target, wallMillis);
    final long recentTokens = turn.recentTokens(wallMillis);
    boolean oversized = tokens > placeTokens;
    if (oversized || turn.isForOversized()) {
      return oversized && turn.isForOversized() && turn.rank == 0 && turn.recent.isEmpty();
    }
    // The places are those before this router sent its recent prompts.
    long places = (free + recentTokens) / placeTokens;
    int routers = others.size() + 1;
    long own = places / routers + (turn.rank < places % routers ? 1 : 0);
    return turn.recent.size() < own;
  }

  /**
   * Records that this router sent a large prompt.
   *
   * @param target the incarnation key of the target
   * @param tokens the tokens that the request holds
   * @param wallMillis the time since the Unix epoch in milliseconds
   */
  void onSent(long target, long tokens, long wallMillis) {
    Turn turn = turn(target, wallMillis);
    turn.recent.add(new Sent(tokens, wallMillis));
  }

  private Turn turn(long target, long wallMillis) {
    long number = Math.floorDiv(phase(target, wallMillis), TURN_MILLIS);
    Turn known = turns.get(target);
    if (known == null || known.number != number) {
      RendezvousOrder order = new RendezvousOrder("memory/" + target + "/" + number);
      int before = (int) others.stream().filter(other -> order.compare(other, router) < 0).count();
      if (turns.size() >= MAX_TARGETS) {
        turns.values().removeIf(turn -> turn.number < number - 1);
      }
      known = new Turn(number, before);
      turns.put(target, known);
    }
    return known;
  }

  /** Returns the time that the turns of a target count; different targets have other gaps. */
  private static long phase(long target, long wallMillis) {
    return wallMillis + Math.floorMod(target, TURN_MILLIS);
  }

  private static List<String> assumedRouters() {
    List<String> names = new ArrayList<>();
    for (int i = 1; i < ASSUMED_ROUTERS; i++) {
      names.add(String.valueOf(i));
    }
    return names;
  }
}

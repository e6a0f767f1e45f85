package org.almondslip.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.almondslip.time.Clock;
import org.apache.commons.rng.UniformRandomProvider;

/** Schedules dials per address with jittered exponential backoff after failures. */
public final class DialSchedule {

  /** Maximum delay after the first failure, in milliseconds. */
  static final long INITIAL_BACKOFF_MILLIS = 100;

  /**
   * Maximum delay after repeated failures, in milliseconds. It is below the silence timeout of 3 s,
   * so a peer that recovers is redialled as quickly as a failed peer is detected.
   */
  static final long MAX_BACKOFF_MILLIS = 2_500;

  /** Duration after which an open connection is considered stable, in milliseconds. */
  static final long STABLE_CONNECTION_MILLIS = 5_000;

  private final Clock clock;

  /** Source of jitter. */
  private final UniformRandomProvider random;

  /** States by address. */
  private final Map<String, AddressState> states = new HashMap<>();

  /** Connection and backoff of an address. */
  private static final class AddressState {

    /** Whether a connection is being opened or is open. */
    private boolean inUse;

    /** Maximum delay after the next failure, in milliseconds. */
    private long backoff = INITIAL_BACKOFF_MILLIS;

    /** Earliest time of the next dial, in milliseconds. */
    private long earliestDial = Long.MIN_VALUE;

    /** Time at which the connection was opened, in milliseconds. */
    private long openedAt = Long.MAX_VALUE;
  }

  /**
   * Creates a schedule.
   *
   * @param clock the source of time
   * @param random the source of jitter
   */
  public DialSchedule(Clock clock, UniformRandomProvider random) {
    this.clock = clock;
    this.random = random;
  }

  /**
   * Returns whether an address may be dialled now and, if so, marks it as being dialled.
   *
   * @param address the address
   * @return true if the caller must dial
   */
  public boolean tryDial(String address) {
    AddressState state = states.computeIfAbsent(address, a -> new AddressState());
    if (state.inUse || clock.millis() < state.earliestDial) {
      return false;
    }
    state.inUse = true;
    state.openedAt = Long.MAX_VALUE;
    return true;
  }

  /**
   * Handles a dialled connection that has been opened.
   *
   * @param address the address
   */
  public void onOpen(String address) {
    AddressState state = states.computeIfAbsent(address, a -> new AddressState());
    state.inUse = true;
    state.openedAt = clock.millis();
  }

  /**
   * Handles a failed dial or the end of an open connection.
   *
   * <p>Only a stable connection resets the backoff, so that a peer that accepts connections and
   * closes them immediately is not dialled in a tight loop.
   *
   * @param address the address
   */
  public void onEnd(String address) {
    AddressState state = states.computeIfAbsent(address, a -> new AddressState());
    long now = clock.millis();
    boolean stable = state.openedAt <= now - STABLE_CONNECTION_MILLIS;
    long maxDelay = stable ? INITIAL_BACKOFF_MILLIS : state.backoff;
    state.inUse = false;
    state.openedAt = Long.MAX_VALUE;
    state.earliestDial = now + maxDelay / 2 + random.nextLong(maxDelay / 2);
    state.backoff = Math.min(MAX_BACKOFF_MILLIS, maxDelay * 2);
  }

  /**
   * Resets the backoff of an address, for example after its process has announced a restart.
   *
   * @param address the address
   */
  public void reset(String address) {
    AddressState state = states.get(address);
    if (state != null) {
      state.earliestDial = Long.MIN_VALUE;
      state.backoff = INITIAL_BACKOFF_MILLIS;
    }
  }

  /**
   * Removes the state of addresses that are neither given nor in use.
   *
   * @param addresses the addresses to retain
   */
  public void retain(Set<String> addresses) {
    states.entrySet().removeIf(e -> !e.getValue().inUse && !addresses.contains(e.getKey()));
  }
}

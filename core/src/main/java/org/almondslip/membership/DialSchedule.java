package org.almondslip.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.almondslip.time.Clock;
import org.apache.commons.rng.UniformRandomProvider;

/** Decides when an address may be dialled: exponential backoff with jitter after failures. */
public final class DialSchedule {

  /** Upper limit of the wait after the first failure, in milliseconds. */
  static final long FIRST_WAIT_MILLIS = 100;

  /**
   * Upper limit of the wait after many failures, in milliseconds. Below the silence limit of 3 s,
   * so that a peer that is back is found again as fast as a lost one is noticed.
   */
  static final long MAX_WAIT_MILLIS = 2_500;

  /** Time after which an open connection counts as stable, in milliseconds. */
  static final long STABLE_MILLIS = 5_000;

  /** Source of time. */
  private final Clock clock;

  /** Source of jitter. */
  private final UniformRandomProvider random;

  /** State of each address that has been dialled. */
  private final Map<String, Entry> entries = new HashMap<>();

  /** State of an address. */
  private static final class Entry {

    /** Whether a connection is being opened or is open. */
    private boolean busy;

    /** Upper limit of the next wait in milliseconds. */
    private long wait = FIRST_WAIT_MILLIS;

    /** Earliest time of the next dial. */
    private long earliest = Long.MIN_VALUE;

    /** Time at which the connection was opened. */
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
   * Returns whether an address may be dialled now and, if so, counts it as being dialled.
   *
   * @param address the address
   * @return true when the caller must dial
   */
  public boolean tryDial(String address) {
    Entry entry = entries.computeIfAbsent(address, a -> new Entry());
    if (entry.busy || clock.millis() < entry.earliest) {
      return false;
    }
    entry.busy = true;
    entry.openedAt = Long.MAX_VALUE;
    return true;
  }

  /**
   * A dialled connection has been opened.
   *
   * @param address the address
   */
  public void onOpen(String address) {
    Entry entry = entries.computeIfAbsent(address, a -> new Entry());
    entry.busy = true;
    entry.openedAt = clock.millis();
  }

  /**
   * A dial has failed or an open connection has ended.
   *
   * <p>The wait grows until a connection has lasted, so that a peer that accepts and closes at once
   * is not dialled in a tight loop.
   *
   * @param address the address
   */
  public void onEnd(String address) {
    Entry entry = entries.computeIfAbsent(address, a -> new Entry());
    long now = clock.millis();
    boolean stable = entry.openedAt <= now - STABLE_MILLIS;
    long limit = stable ? FIRST_WAIT_MILLIS : entry.wait;
    entry.busy = false;
    entry.openedAt = Long.MAX_VALUE;
    entry.earliest = now + limit / 2 + random.nextLong(limit / 2);
    entry.wait = Math.min(MAX_WAIT_MILLIS, limit * 2);
  }

  /**
   * Allows an address at once, for instance because its process has announced a new start.
   *
   * @param address the address
   */
  public void reset(String address) {
    Entry entry = entries.get(address);
    if (entry != null) {
      entry.earliest = Long.MIN_VALUE;
      entry.wait = FIRST_WAIT_MILLIS;
    }
  }

  /**
   * Forgets the addresses that are no longer of interest and not connected.
   *
   * @param addresses the addresses of interest
   */
  public void retain(Set<String> addresses) {
    entries.entrySet().removeIf(e -> !e.getValue().busy && !addresses.contains(e.getKey()));
  }
}

package org.almondslip.gateway;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.almondslip.time.Clock;

/**
 * Decides which targets are paused and which callers are cut off when callers read so slowly that
 * their unsent data fills the memory of bodies.
 *
 * <p>A target cuts off a response that stays unread for some seconds, so a slow caller does not
 * stop the reading from its target while there is memory. Only callers with unsent data are known
 * here, so that responses to callers that read at once cost nothing.
 */
final class ResponseMemory {

  /** Fraction of the memory above which targets of callers with a large part of it are paused. */
  static final double SOFT_FRACTION = 0.5;

  /** Fraction of the memory below which paused targets are read on. */
  static final double RESUME_FRACTION = 0.4;

  /**
   * Fraction of the memory above which callers are cut off. It is below {@link
   * BodyMemory#LARGE_BODY_FRACTION}, so that slow callers leave room for large bodies.
   */
  static final double HARD_FRACTION = 0.7;

  /**
   * Time after which a paused target needs room, in milliseconds. Targets give up a response that
   * stays unread for some seconds.
   */
  static final long MAX_PAUSE_MILLIS = 1_000;

  /**
   * Time that a caller needs at its recent rate for its unsent data, in milliseconds, from which on
   * it may be cut off for the bodies of others.
   */
  static final long SLOW_MILLIS = 1_000;

  /** Time constant of the moving average of the rate of a caller, in milliseconds. */
  private static final double RATE_MILLIS = 1_000;

  /**
   * Time without progress from which on a caller may be cut off for the bodies of others, in
   * milliseconds. A caller that reads makes progress in each round trip, also between regions.
   */
  static final long NO_PROGRESS_MILLIS = 200;

  /**
   * Rate that is assumed of a caller before it has read anything, in bytes per millisecond. A lower
   * one made a caller that had just got a large response appear slower than those that had read
   * nothing for seconds.
   */
  private static final double INITIAL_RATE = 10_000;

  /**
   * Lowest rate in bytes per millisecond. It keeps the rates of callers that stopped reading
   * comparable, so that the one with the most bytes is the slowest.
   */
  private static final double MIN_RATE = 0.001;

  /**
   * Time above which callers count as equally slow, in milliseconds. Otherwise a caller that holds
   * little and has stopped would be cut off before one that holds much and reads slowly.
   */
  private static final double MAX_DRAIN_MILLIS = 10_000;

  /**
   * Time without scans of the accounts after one that found no slow caller, in milliseconds. Under
   * pressure each event of each response would scan all accounts.
   */
  static final long SCAN_PAUSE_MILLIS = 20;

  private final Clock clock;

  private final BodyMemory memory;

  /** Time before which the accounts are not scanned for slow callers again, in milliseconds. */
  private long nextScanAt = Long.MIN_VALUE;

  /** Accounts with unsent data, in the order in which their callers fell behind. */
  private final Set<Account> accounts = new LinkedHashSet<>();

  /** Accounts whose target is paused, the earliest first. */
  private final Set<Account> paused = new LinkedHashSet<>();

  /** Number of callers that were cut off by reason. */
  private final Map<CutOffReason, Long> cutOffs = new EnumMap<>(CutOffReason.class);

  private long heldBytes;

  /** Why a caller is cut off. */
  enum CutOffReason {
    /** The memory of bodies is used up. */
    MEMORY("caller_memory"),
    /** A target is paused for so long that it would give up its response. */
    TARGET_PAUSED("caller_target_paused"),
    /** The caller has read nothing within the idle timeout. */
    STALLED("caller_stalled");

    private final String label;

    CutOffReason(String label) {
      this.label = label;
    }

    /** Returns the name in logs and metrics. */
    String label() {
      return label;
    }
  }

  /** Receives the decisions about a response. */
  interface Listener {

    /** Reads on from the target. */
    void onResume();

    /**
     * Aborts the response without its end. Must release the account before it returns.
     *
     * @param reason why the caller is cut off
     * @param bytes the unsent bytes
     */
    void onCutOff(CutOffReason reason, long bytes);
  }

  /**
   * Creates a memory without responses, which makes room for all bodies when memory is short.
   *
   * @param clock the source of time
   * @param memory the memory of the bodies of all connections
   */
  ResponseMemory(Clock clock, BodyMemory memory) {
    this.clock = clock;
    this.memory = memory;
    memory.onShortage(bytes -> reclaim(memory.used() - bytes, CutOffReason.MEMORY));
  }

  /** Unsent data of one response. */
  final class Account {

    private final Listener listener;

    private final BodyMemory.Reservation reservation = memory.reserve();

    private long bytes;

    /** Moving average of the bytes per millisecond that the connection accepted. */
    private double rate = INITIAL_RATE;

    private long rateAt = clock.millis();

    /** Time since which the account has held data without a break, in milliseconds. */
    private long heldSince = rateAt;

    /** Time of the last progress in milliseconds. */
    private long progressAt = rateAt;

    private long pausedAt;

    /** Whether the response is complete, so that there is no target to pause. */
    private boolean targetEnded;

    private boolean released;

    private Account(Listener listener) {
      this.listener = listener;
    }

    /**
     * Adds unsent data. Cuts off slow callers if there is no room for it, and the caller of this
     * response if that is not enough.
     *
     * @param more the number of bytes
     */
    void add(int more) {
      if (released) {
        return;
      }
      hold(more);
      reclaim((long) (memory.capacity() * HARD_FRACTION) - more, CutOffReason.MEMORY);
      if (!released && !reservation.tryExtend(more) && !released) {
        cutOff(this, CutOffReason.MEMORY);
      }
      if (!released && exceedsShare()) {
        pause();
      }
    }

    /**
     * Adds the unsent data of a complete response, whose memory is reserved already. The response
     * is not cut off for it.
     *
     * @param complete the memory of the response, which the account releases
     */
    void takeOver(BodyMemory.Reservation complete) {
      if (released) {
        complete.release();
        return;
      }
      hold(reservation.takeOver(complete));
      reclaim((long) (memory.capacity() * HARD_FRACTION), CutOffReason.MEMORY);
    }

    /**
     * Adds data that the connection has copied in order to send it, if there is memory for it.
     *
     * @param more the number of bytes
     * @return whether the data was added; nobody is cut off if it was not
     */
    boolean tryAddCopy(int more) {
      if (released || memory.used() + more > memory.capacity() * HARD_FRACTION) {
        return false;
      }
      if (!reservation.tryExtend(more)) {
        return false;
      }
      bytes += more;
      heldBytes += more;
      return true;
    }

    /**
     * Records that the connection has accepted data.
     *
     * @param sent the number of bytes
     * @param freed the number of bytes that are no longer in memory
     */
    void remove(int sent, int freed) {
      if (released) {
        return;
      }
      final long now = clock.millis();
      rate = rate(now) + sent / RATE_MILLIS;
      rateAt = now;
      progressAt = now;
      bytes -= freed;
      heldBytes -= freed;
      reservation.tryResize((int) bytes);
      if (bytes == 0) {
        accounts.remove(this);
      }
      if (paused.contains(this) && mayResume(this)) {
        resume(this);
      }
    }

    /** Records that the target has sent the whole response. */
    void onTargetEnded() {
      targetEnded = true;
      paused.remove(this);
    }

    /** Releases the memory. Has no effect after the first call. */
    void release() {
      if (!released) {
        released = true;
        heldBytes -= bytes;
        bytes = 0;
        accounts.remove(this);
        paused.remove(this);
        reservation.release();
      }
    }

    /** Returns whether the target of the response must not be read. */
    boolean isPaused() {
      return paused.contains(this);
    }

    /** Adds data, and forgets the rate of a caller that had nothing to read before. */
    private void hold(int more) {
      if (bytes == 0) {
        progressAt = clock.millis();
        heldSince = progressAt;
        rateAt = progressAt;
        rate = INITIAL_RATE;
      }
      bytes += more;
      heldBytes += more;
      accounts.add(this);
    }

    private boolean exceedsShare() {
      return !targetEnded && memory.used() > memory.capacity() * SOFT_FRACTION && bytes > share();
    }

    private void pause() {
      if (paused.add(this)) {
        pausedAt = clock.millis();
      }
    }

    private double rate(long now) {
      return rate * Math.exp((rateAt - now) / RATE_MILLIS);
    }

    private boolean isSlow(long now) {
      // A caller that has just got its first data has had no time to read it.
      return now - heldSince >= NO_PROGRESS_MILLIS
          && (now - progressAt >= NO_PROGRESS_MILLIS || drainMillis(now) >= SLOW_MILLIS);
    }

    /** Returns the time that the caller needs for its unsent data, in milliseconds. */
    private double drainMillis(long now) {
      return bytes / Math.max(MIN_RATE, rate(now));
    }

    /** Returns the order in which slow callers are cut off: much data and little progress first. */
    private double weight(long now) {
      return bytes * Math.min(MAX_DRAIN_MILLIS, drainMillis(now));
    }
  }

  /**
   * Creates the account of a response without unsent data.
   *
   * @param listener the receiver of decisions
   * @return the account
   */
  Account open(Listener listener) {
    return new Account(listener);
  }

  /**
   * Resumes the targets for which there is room again. Cuts off the slowest caller if a target has
   * been paused for too long.
   */
  void tick() {
    if (paused.isEmpty()) {
      return;
    }
    if (clock.millis() - paused.iterator().next().pausedAt >= MAX_PAUSE_MILLIS) {
      slowest().ifPresent(account -> cutOff(account, CutOffReason.TARGET_PAUSED));
    }
    for (Account account : List.copyOf(paused)) {
      if (paused.contains(account) && mayResume(account)) {
        resume(account);
      }
    }
  }

  /**
   * Cuts off the callers that have read nothing for some time.
   *
   * @param timeoutMillis the time in milliseconds
   */
  void cutOffStalled(long timeoutMillis) {
    long now = clock.millis();
    List<Account> stalled = new ArrayList<>();
    for (Account account : accounts) {
      if (now - account.progressAt >= timeoutMillis) {
        stalled.add(account);
      }
    }
    stalled.forEach(account -> cutOff(account, CutOffReason.STALLED));
  }

  /** Returns the unsent bytes of all responses. */
  long heldBytes() {
    return heldBytes;
  }

  /** Returns the number of paused targets. */
  int pausedTargets() {
    return paused.size();
  }

  /** Returns the number of callers that were cut off by reason. */
  Map<CutOffReason, Long> cutOffs() {
    return cutOffs;
  }

  /** Returns the part of the soft limit that each response may use, in bytes. */
  private double share() {
    return memory.capacity() * SOFT_FRACTION / Math.max(1, accounts.size());
  }

  private boolean mayResume(Account account) {
    return memory.used() < memory.capacity() * RESUME_FRACTION || account.bytes <= share() / 2;
  }

  private void resume(Account account) {
    paused.remove(account);
    account.listener.onResume();
  }

  /**
   * Cuts off slow callers until the memory of all bodies is at or below a limit, or none is left.
   * Nobody is cut off if uploads fill the memory and the limit would not be reached.
   *
   * @param limit the limit in bytes
   * @param reason why they are cut off
   */
  private void reclaim(long limit, CutOffReason reason) {
    long now = clock.millis();
    if (memory.used() <= limit || now < nextScanAt) {
      return;
    }
    long slowBytes = slowBytes(now);
    if (slowBytes == 0) {
      nextScanAt = now + SCAN_PAUSE_MILLIS;
      return;
    }
    boolean uploadsFillMemory = heldBytes < memory.used() / 2;
    if (uploadsFillMemory && memory.used() - slowBytes > limit) {
      return;
    }
    while (memory.used() > limit) {
      Optional<Account> slowest = slowest();
      if (slowest.isEmpty()) {
        return;
      }
      cutOff(slowest.get(), reason);
    }
  }

  /** Returns the unsent bytes of slow callers. */
  private long slowBytes(long now) {
    long sum = 0;
    for (Account account : accounts) {
      if (account.isSlow(now)) {
        sum += account.bytes;
      }
    }
    return sum;
  }

  /** Finds the slow caller with most unsent data and least progress. */
  private Optional<Account> slowest() {
    long now = clock.millis();
    Account slowest = null;
    double highest = -1;
    for (Account account : accounts) {
      double weight = account.weight(now);
      if (weight > highest && account.isSlow(now)) {
        slowest = account;
        highest = weight;
      }
    }
    return Optional.ofNullable(slowest);
  }

  private void cutOff(Account account, CutOffReason reason) {
    final long bytes = account.bytes;
    cutOffs.merge(reason, 1L, Long::sum);
    account.release();
    account.listener.onCutOff(reason, bytes);
  }
}

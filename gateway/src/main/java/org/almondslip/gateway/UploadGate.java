package org.almondslip.gateway;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.almondslip.time.Clock;

/**
 * Decides when the reading of request bodies is paused since the memory of bodies is short, so that
 * bodies wait for each other before one is refused.
 *
 * <p>Each body waits at most once. Without that limit, bodies that are half read would occupy the
 * memory and wait for each other.
 */
final class UploadGate {

  /** Fraction of the memory above which large bodies wait. */
  static final double LARGE_BODY_FRACTION = 0.5;

  /** Fraction of the memory above which all bodies wait. */
  static final double FRACTION = 0.7;

  /**
   * Longest pause in milliseconds. A body is usually complete after some round trips, and callers
   * that are refused need time to try another router.
   */
  static final long MAX_PAUSE_MILLIS = 1_000;

  private final Clock clock;

  private final BodyMemory memory;

  /** Bodies that wait, the earliest first. */
  private final Map<RequestBody, Pause> paused = new LinkedHashMap<>();

  private long pauses;

  /**
   * Pause of a body.
   *
   * @param since the start of the pause in milliseconds
   * @param resume reads on
   */
  private record Pause(long since, Runnable resume) {}

  /**
   * Creates a gate without waiting bodies.
   *
   * @param clock the source of time
   * @param memory the memory of the bodies of all connections
   */
  UploadGate(Clock clock, BodyMemory memory) {
    this.clock = clock;
    this.memory = memory;
  }

  /**
   * Pauses a body if the memory is short and more of the body is expected.
   *
   * @param body the body
   * @param pause stops reading
   * @param resume reads on
   */
  void onData(RequestBody body, Runnable pause, Runnable resume) {
    if (!body.isComplete() && !body.hasPaused() && isShort(body)) {
      body.markPaused();
      pauses++;
      paused.put(body, new Pause(clock.millis(), resume));
      pause.run();
    }
  }

  /** Reads on the bodies for which there is memory again and those that have waited long enough. */
  void tick() {
    long now = clock.millis();
    while (!paused.isEmpty()) {
      Iterator<Map.Entry<RequestBody, Pause>> all = paused.entrySet().iterator();
      Map.Entry<RequestBody, Pause> first = all.next();
      if (!first.getKey().isReleased()
          && isShort(first.getKey())
          && now - first.getValue().since() < MAX_PAUSE_MILLIS) {
        return;
      }
      all.remove();
      first.getValue().resume().run();
    }
  }

  /** Returns the number of bodies that wait. */
  int waiting() {
    return paused.size();
  }

  /** Returns how often a body was paused. */
  long pauses() {
    return pauses;
  }

  private boolean isShort(RequestBody body) {
    boolean large = body.length() > BodyMemory.LARGE_BODY_BYTES;
    return memory.used() > memory.capacity() * (large ? LARGE_BODY_FRACTION : FRACTION);
  }
}

package org.almondslip.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Model of an engine's prefix cache. The least recently used segments are evicted when the cache is
 * full, and a cached segment is usable only if all segments before it are cached too.
 */
final class PrefixCache {

  /** Capacity in tokens. */
  private final long capacity;

  /** Tokens by segment id, the least recently used segment first. */
  private final Map<Long, Integer> segments = new LinkedHashMap<>(16, 0.75f, true);

  /** Tokens of all segments. */
  private long used;

  /**
   * Creates an empty cache.
   *
   * @param capacity the capacity in tokens
   */
  PrefixCache(long capacity) {
    this.capacity = capacity;
  }

  /** Returns the capacity in tokens. */
  long capacity() {
    return capacity;
  }

  /**
   * Returns the tokens of a prompt that the engine has to prefill.
   *
   * @param prompt the prompt
   * @return the number of tokens that are not cached
   */
  int uncachedTokens(Prompt prompt) {
    int cached = 0;
    for (Prompt.Segment segment : prompt.segments()) {
      if (!segments.containsKey(segment.id())) {
        break;
      }
      cached += segment.tokens();
    }
    return Math.max(0, prompt.promptTokens() - cached);
  }

  /**
   * Adds the segments of a prompt that the engine prefills, and evicts old ones beyond the
   * capacity.
   *
   * @param prompt the prompt
   */
  void add(Prompt prompt) {
    for (Prompt.Segment segment : prompt.segments()) {
      Integer old = segments.put(segment.id(), segment.tokens());
      used += segment.tokens() - (old == null ? 0 : old);
    }
    Iterator<Integer> oldest = segments.values().iterator();
    while (used > capacity && oldest.hasNext()) {
      used -= oldest.next();
      oldest.remove();
    }
  }

  /** Returns the cached segments, the least recently used first. */
  List<Prompt.Segment> segments() {
    return segments.entrySet().stream()
        .map(entry -> new Prompt.Segment(entry.getKey(), entry.getValue()))
        .toList();
  }

  /** Removes all segments, for an engine that has restarted. */
  void clear() {
    segments.clear();
    used = 0;
  }
}

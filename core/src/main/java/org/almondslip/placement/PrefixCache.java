package org.almondslip.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Model of the prompt parts that an engine keeps: least recently used parts yield when the memory
 * is full, and a part helps only when all parts before it are kept too.
 */
final class PrefixCache {

  /** Tokens that the model holds. */
  private final long capacity;

  /** Tokens by the id of the part, the least recently used first. */
  private final Map<Long, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);

  /** Tokens of all parts. */
  private long used;

  /**
   * Creates an empty cache.
   *
   * @param capacity the tokens that it holds
   */
  PrefixCache(long capacity) {
    this.capacity = capacity;
  }

  /**
   * Returns the tokens that the cache holds.
   *
   * @return the tokens
   */
  long capacity() {
    return capacity;
  }

  /**
   * Returns the tokens of a prompt that the engine has to read.
   *
   * @param prompt the prompt
   * @return the tokens that are not kept
   */
  int uncachedTokens(Prompt prompt) {
    int kept = 0;
    for (Prompt.Segment part : prompt.segments()) {
      if (!parts.containsKey(part.id())) {
        break;
      }
      kept += part.tokens();
    }
    return Math.max(0, prompt.promptTokens() - kept);
  }

  /**
   * Notes that the engine reads a prompt.
   *
   * @param prompt the prompt
   */
  void onPrefilled(Prompt prompt) {
    for (Prompt.Segment part : prompt.segments()) {
      Integer old = parts.put(part.id(), part.tokens());
      used += part.tokens() - (old == null ? 0 : old);
    }
    Iterator<Integer> oldest = parts.values().iterator();
    while (used > capacity && oldest.hasNext()) {
      used -= oldest.next();
      oldest.remove();
    }
  }

  /** Forgets all parts, for an engine that has restarted. */
  void clear() {
    parts.clear();
    used = 0;
  }
}

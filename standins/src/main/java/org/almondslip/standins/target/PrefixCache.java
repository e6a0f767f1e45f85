package org.almondslip.standins.target;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Cache of prompt prefixes with limited memory, in blocks of words; drops the oldest block. */
final class PrefixCache {

  /** Words in a block. */
  private static final int BLOCK_WORDS = 16;

  /** Blocks that fit. */
  private final int capacity;

  /** Hashes of the cached prefixes, least recently used first. */
  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

  /**
   * Creates an empty cache.
   *
   * @param capacity the blocks that fit
   */
  PrefixCache(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Looks a prompt up and stores it.
   *
   * @param prompt the prompt
   * @return the words of the prompt that were not cached
   */
  int admit(String prompt) {
    String[] words = prompt.split("\\s+");
    List<Long> prefixes = prefixes(words);
    int cached = 0;
    while (cached < prefixes.size() && blocks.containsKey(prefixes.get(cached))) {
      cached++;
    }
    prefixes.forEach(prefix -> blocks.put(prefix, Boolean.TRUE));
    while (blocks.size() > capacity) {
      blocks.remove(blocks.keySet().iterator().next());
    }
    return words.length - cached * BLOCK_WORDS;
  }

  /**
   * Returns the number of cached blocks.
   *
   * @return the number
   */
  int size() {
    return blocks.size();
  }

  /** Empties the cache. */
  void clear() {
    blocks.clear();
  }

  /**
   * Returns the hash of each prefix that ends at a block's end.
   *
   * @param words the words of the prompt
   * @return the hashes, shortest prefix first
   */
  private static List<Long> prefixes(String[] words) {
    List<Long> prefixes = new ArrayList<>();
    long hash = 1;
    for (int i = 0; i < words.length; i++) {
      hash = hash * 1_000_003L + words[i].hashCode();
      if ((i + 1) % BLOCK_WORDS == 0) {
        prefixes.add(hash);
      }
    }
    return prefixes;
  }
}

package org.almondslip.standins.target;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards the cost of the first token: a cached prefix is cheap, and memory is limited. */
final class PrefixCacheTest {

  private static String words(String word, int count) {
    return (word + " ").repeat(count);
  }

  @Test
  void sharedPrefixIsCachedAndOldBlocksAreDropped() {
    PrefixCache cache = new PrefixCache(4);
    assertThat(cache.admit(words("a", 32))).isEqualTo(32);
    assertThat(cache.admit(words("a", 32) + "tail")).isEqualTo(1);
    cache.admit(words("b", 64));
    assertThat(cache.size()).isEqualTo(4);
    assertThat(cache.admit(words("a", 32))).isEqualTo(32);
  }
}

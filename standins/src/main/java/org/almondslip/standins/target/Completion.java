package org.almondslip.standins.target;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The tokens that answer a request. They depend on the request only, so that any engine can resume
 * a stream that another one began.
 */
public final class Completion {

  /** Increment of the sequence from which the tokens are mixed (golden ratio, SplitMix64). */
  private static final long GOLDEN = 0x9E3779B97F4A7C15L;

  /** Smallest part of the token limit that an answer uses, in percent. */
  private static final int MIN_LENGTH_PERCENT = 30;

  /** Bits of a token's random part. */
  private static final int TOKEN_BITS = 24;

  /** Hash of the request. */
  private final long seed;

  /** Number of tokens. */
  private final int length;

  /**
   * Creates a completion.
   *
   * @param seed the hash of the request
   * @param length the number of tokens
   */
  private Completion(long seed, int length) {
    this.seed = seed;
    this.length = length;
  }

  /**
   * Returns the completion of a request. Its length is 30 to 100 % of the token limit, so the limit
   * is only a rough hint of the cost.
   *
   * @param request the request
   * @return the completion
   */
  public static Completion of(ChatRequest request) {
    String text = request.model() + '\n' + request.maxTokens() + '\n' + request.prompt();
    long seed = MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
    long spread = Long.remainderUnsigned(mix(seed), 101 - MIN_LENGTH_PERCENT);
    long length = request.maxTokens() * (MIN_LENGTH_PERCENT + spread) / 100;
    return new Completion(seed, (int) Math.max(1, length));
  }

  /**
   * Returns the number of tokens.
   *
   * @return the number
   */
  public int length() {
    return length;
  }

  /**
   * Returns a token.
   *
   * @param index the position, from 0
   * @return the token with a trailing space
   */
  public String token(int index) {
    long bits = mix(seed + GOLDEN * (index + 1L)) >>> (Long.SIZE - TOKEN_BITS);
    return String.format(Locale.ROOT, "%06x ", bits);
  }

  /**
   * Returns the text from a position to the end.
   *
   * @param from the position of the first token
   * @return the text
   */
  public String text(int from) {
    StringBuilder text = new StringBuilder();
    for (int i = from; i < length; i++) {
      text.append(token(i));
    }
    return text.toString();
  }

  /**
   * Mixes bits (the finaliser of SplitMix64).
   *
   * @param value the input
   * @return the mixed bits
   */
  private static long mix(long value) {
    long z = value;
    z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }
}

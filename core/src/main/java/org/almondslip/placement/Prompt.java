package org.almondslip.placement;

import java.util.List;
import java.util.OptionalInt;

/**
 * Size of a request for a model engine.
 *
 * @param segments the segments of the prompt in their order, shared ones first
 * @param promptTokens the tokens of the whole prompt
 * @param maxOutputTokens the largest number of tokens that may be generated
 * @param hintedOutputTokens the number of tokens that the caller expects to be generated
 */
public record Prompt(
    List<Segment> segments, int promptTokens, int maxOutputTokens, OptionalInt hintedOutputTokens) {

  /** Prompt of a request for a plain service. */
  public static final Prompt NONE = new Prompt(List.of(), 0, 0);

  /**
   * Part of the largest output that is expected of a request without a hint. Limits are set for the
   * longest answers, and most end far below them.
   */
  private static final double UNHINTED_PART = 0.33;

  /**
   * Copies the list.
   *
   * @param segments the segments of the prompt
   * @param promptTokens the tokens of the whole prompt
   * @param maxOutputTokens the largest number of tokens that may be generated
   * @param hintedOutputTokens the number of tokens that the caller expects to be generated
   */
  public Prompt {
    segments = List.copyOf(segments);
  }

  /**
   * Creates the size of a request without a hint.
   *
   * @param segments the segments of the prompt
   * @param promptTokens the tokens of the whole prompt
   * @param maxOutputTokens the largest number of tokens that may be generated
   */
  public Prompt(List<Segment> segments, int promptTokens, int maxOutputTokens) {
    this(segments, promptTokens, maxOutputTokens, OptionalInt.empty());
  }

  /**
   * Returns the number of tokens that are expected to be generated.
   *
   * @return the caller's estimate up to the limit, or a part of the limit without one
   */
  public int expectedOutputTokens() {
    return hintedOutputTokens.isPresent()
        ? Math.min(hintedOutputTokens.getAsInt(), maxOutputTokens)
        : (int) Math.ceil(maxOutputTokens * UNHINTED_PART);
  }

  /**
   * Part of a prompt.
   *
   * @param id the id, the same for all requests that share the part
   * @param tokens the tokens of the part
   */
  public record Segment(long id, int tokens) {}
}

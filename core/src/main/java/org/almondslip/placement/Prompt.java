package org.almondslip.placement;

import java.util.List;
import java.util.OptionalInt;

/**
 * Size of a request for an inference engine.
 *
 * @param segments the segments of the prompt in order, shared ones first
 * @param promptTokens the number of tokens of the whole prompt
 * @param maxOutputTokens the maximum number of tokens that may be generated
 * @param hintedOutputTokens the number of tokens that the caller expects to be generated, empty
 *     without a hint
 */
public record Prompt(
    List<Segment> segments, int promptTokens, int maxOutputTokens, OptionalInt hintedOutputTokens) {

  /** Prompt of a request for a service without an inference engine. */
  public static final Prompt NONE = new Prompt(List.of(), 0, 0);

  /**
   * Fraction of the maximum output that is expected of a request without a hint. Callers set the
   * maximum for their longest answers, and most answers are much shorter.
   */
  private static final double DEFAULT_OUTPUT_FRACTION = 0.33;

  /**
   * Creates the size of a request with a copy of the segments.
   *
   * @param segments the segments of the prompt
   * @param promptTokens the number of tokens of the whole prompt
   * @param maxOutputTokens the maximum number of tokens that may be generated
   * @param hintedOutputTokens the number of tokens that the caller expects to be generated
   */
  public Prompt {
    segments = List.copyOf(segments);
  }

  /**
   * Creates the size of a request without a hint.
   *
   * @param segments the segments of the prompt
   * @param promptTokens the number of tokens of the whole prompt
   * @param maxOutputTokens the maximum number of tokens that may be generated
   */
  public Prompt(List<Segment> segments, int promptTokens, int maxOutputTokens) {
    this(segments, promptTokens, maxOutputTokens, OptionalInt.empty());
  }

  /**
   * Returns the segments that other requests may share.
   *
   * @return all segments but the last one, which belongs to the request or its session
   */
  public List<Segment> sharedSegments() {
    return segments.subList(0, Math.max(0, segments.size() - 1));
  }

  /**
   * Returns the number of tokens that are expected to be generated.
   *
   * @return the hint of the caller, at most the maximum output; a fraction of the maximum without a
   *     hint
   */
  public int expectedOutputTokens() {
    return hintedOutputTokens.isPresent()
        ? Math.min(hintedOutputTokens.getAsInt(), maxOutputTokens)
        : (int) Math.ceil(maxOutputTokens * DEFAULT_OUTPUT_FRACTION);
  }

  /**
   * Segment of a prompt.
   *
   * @param id the id, equal for all requests that share the segment
   * @param tokens the number of tokens
   */
  public record Segment(long id, int tokens) {}
}

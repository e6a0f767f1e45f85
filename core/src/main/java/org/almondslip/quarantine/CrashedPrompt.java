package org.almondslip.quarantine;

import java.util.List;
import org.almondslip.placement.Prompt;

/**
 * Prompt of a request that was lost with its target at the start of the response.
 *
 * @param segments the ids of the shared segments in order
 * @param target the incarnation of the target
 * @param progressAt the time at which the head of its response arrived, in milliseconds
 */
public record CrashedPrompt(List<Long> segments, long target, long progressAt) {

  /**
   * Creates a crashed prompt with a copy of the segments.
   *
   * @param segments the ids of the shared segments in order
   * @param target the incarnation of the target
   * @param progressAt the time of the last progress of the request, in milliseconds
   */
  public CrashedPrompt {
    segments = List.copyOf(segments);
  }

  /**
   * Returns the crashed prompt of a request.
   *
   * @param prompt the prompt of the request
   * @param target the incarnation of the target
   * @param progressAt the time of the last progress of the request, in milliseconds
   * @return the crashed prompt
   */
  public static CrashedPrompt of(Prompt prompt, long target, long progressAt) {
    return new CrashedPrompt(
        prompt.sharedSegments().stream().map(Prompt.Segment::id).toList(), target, progressAt);
  }
}

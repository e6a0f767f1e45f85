package org.almondslip.placement;

import java.util.List;

/**
 * Size of a request for a model engine.
 *
 * @param parts the parts of the prompt in their order, shared ones first
 * @param promptTokens the tokens of the whole prompt
 * @param outputTokens the largest number of tokens that may be generated
 */
public record Prompt(List<Part> parts, int promptTokens, int outputTokens) {

  /** Prompt of a request for a plain service. */
  public static final Prompt NONE = new Prompt(List.of(), 0, 0);

  /**
   * Copies the list.
   *
   * @param parts the parts of the prompt
   * @param promptTokens the tokens of the whole prompt
   * @param outputTokens the largest number of tokens that may be generated
   */
  public Prompt {
    parts = List.copyOf(parts);
  }

  /**
   * Part of a prompt.
   *
   * @param id the id, the same for all requests that share the part
   * @param tokens the tokens of the part
   */
  public record Part(long id, int tokens) {}
}

package org.almondslip.bench.load;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.http.HttpMethod;

/** Kinds of requests that callers send. */
public enum RequestKind {
  /** Long streamed answer. */
  FULL_DRAFT(20, 160, true),
  /** Short streamed answer. */
  QUICK_QUESTION(50, 24, true),
  /** Very short whole answer. */
  TAGGING(30, 8, false),
  /** Order without idempotency key. */
  ORDER(40),
  /** Order with idempotency key. */
  KEYED_ORDER(30),
  /** Stock check, which is idempotent. */
  STOCK_CHECK(30);

  /** Mean part of the token limit that an answer of the stand-in engine uses. */
  private static final double MEAN_TOKEN_PART = 0.65;

  /** Frequency among the kinds of the same type, in percent. */
  private final int frequency;

  /** Token limit, 0 for services. */
  private final int maxTokens;

  /** Whether the answer is streamed. */
  private final boolean stream;

  /**
   * Creates a kind of model request.
   *
   * @param frequency the frequency among model requests, in percent
   * @param maxTokens the token limit
   * @param stream whether the answer is streamed
   */
  RequestKind(int frequency, int maxTokens, boolean stream) {
    this.frequency = frequency;
    this.maxTokens = maxTokens;
    this.stream = stream;
  }

  /**
   * Creates a kind of service request.
   *
   * @param frequency the frequency among service requests, in percent
   */
  RequestKind(int frequency) {
    this(frequency, 0, false);
  }

  /**
   * Returns the frequency among the kinds of the same type.
   *
   * @return the frequency in percent
   */
  public int frequency() {
    return frequency;
  }

  /**
   * Returns whether a model engine answers.
   *
   * @return false for a plain service
   */
  public boolean isModel() {
    return maxTokens > 0;
  }

  /**
   * Returns whether the answer is streamed.
   *
   * @return true when it is
   */
  public boolean isStream() {
    return stream;
  }

  /**
   * Returns whether a second run of the same request would be an error.
   *
   * @return true for orders
   */
  public boolean isOrder() {
    return this == ORDER || this == KEYED_ORDER;
  }

  /**
   * Returns the mean steps of a model engine for one request of this kind.
   *
   * @return the steps: the mean tokens and one step for the end
   */
  public double meanSteps() {
    return maxTokens * MEAN_TOKEN_PART + 1;
  }

  /**
   * Returns the most steps of a model engine for one request of this kind.
   *
   * @return the steps
   */
  public int maxSteps() {
    return maxTokens + 2;
  }

  /**
   * Returns the method.
   *
   * @return the method
   */
  public HttpMethod method() {
    return this == STOCK_CHECK ? HttpMethod.GET : HttpMethod.POST;
  }

  /**
   * Returns the path below the entry point of the pool.
   *
   * @param number the number of the request
   * @return the path
   */
  public String path(int number) {
    if (isModel()) {
      return "/v1/chat/completions";
    }
    return this == STOCK_CHECK ? "/stock?item=" + number : "/orders";
  }

  /**
   * Returns the body of a request. It differs between any two requests.
   *
   * @param number the number of the request
   * @param organisation the organisation that sends it
   * @param pool the pool that answers it
   * @return the body, empty for a stock check
   */
  public String body(int number, String organisation, String pool) {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    if (isModel()) {
      json.put("model", pool).put("stream", stream).put("max_tokens", maxTokens);
      var messages = json.putArray("messages");
      messages.addObject().put("role", "system").put("content", "You work for " + organisation);
      messages.addObject().put("role", "user").put("content", name() + " " + number);
      return json.toString();
    }
    if (this == STOCK_CHECK) {
      return "";
    }
    return json.put("order", organisation + "-" + number).put("units", 1).toString();
  }
}

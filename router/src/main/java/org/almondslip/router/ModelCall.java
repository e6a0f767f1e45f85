package org.almondslip.router;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import org.almondslip.error.AlmondslipException;
import org.almondslip.error.ErrorCode;

/**
 * Fields of a model call that the router needs. The rest of the body is skipped without building
 * objects for it.
 *
 * @param model the pool that the call names
 * @param stream whether the caller wants server-sent events
 * @param maxTokens the largest number of tokens of the answer
 */
record ModelCall(String model, boolean stream, long maxTokens) {

  /** Tokens that are assumed when the call names no limit. */
  static final long DEFAULT_TOKENS = 256;

  /** Rough slot time of one token, in milliseconds; costs of past requests correct it. */
  static final long MILLIS_PER_TOKEN = 20;

  /** Largest number of tokens that is used for the estimate. */
  private static final long MAX_TOKENS = 100_000;

  /** Reader of JSON. */
  private static final JsonFactory JSON = new JsonFactory();

  /**
   * Reads a call.
   *
   * @param body the JSON text
   * @return the call
   */
  static ModelCall of(byte[] body) {
    try (JsonParser parser = JSON.createParser(body)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw invalid("the body must be a JSON object");
      }
      ModelCall call = read(parser);
      if (parser.nextToken() != null) {
        throw invalid("the body must be one JSON object");
      }
      return call;
    } catch (IOException e) {
      throw invalid("the body is not valid JSON");
    }
  }

  /**
   * Returns a rough estimate of the slot time.
   *
   * @return the estimate in milliseconds
   */
  long hintMillis() {
    return maxTokens * MILLIS_PER_TOKEN;
  }

  /**
   * Reads the fields of the top-level object.
   *
   * @param parser the reader, after the start of the object
   * @return the call
   * @throws IOException if the body is not valid JSON
   */
  private static ModelCall read(JsonParser parser) throws IOException {
    String model = "";
    boolean stream = false;
    long maxTokens = DEFAULT_TOKENS;
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String field = parser.currentName();
      JsonToken value = parser.nextToken();
      if (field.equals("model") && value == JsonToken.VALUE_STRING) {
        model = parser.getText();
      } else if (field.equals("stream") && value.isBoolean()) {
        stream = value == JsonToken.VALUE_TRUE;
      } else if (field.equals("max_tokens") && value == JsonToken.VALUE_NUMBER_INT) {
        maxTokens = Math.max(1, Math.min(MAX_TOKENS, parser.getLongValue()));
      } else {
        parser.skipChildren();
      }
    }
    if (model.isEmpty()) {
      throw invalid("the field model must name a pool");
    }
    return new ModelCall(model, stream, maxTokens);
  }

  /**
   * Creates the refusal of a malformed body.
   *
   * @param detail what is wrong
   * @return the exception
   */
  private static AlmondslipException invalid(String detail) {
    return new AlmondslipException(ErrorCode.BAD_REQUEST, detail);
  }
}

package org.almondslip.order;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import org.almondslip.error.AlmondslipException;
import org.almondslip.error.ErrorCode;

/**
 * Record of a claimed idempotency key in the table service.
 *
 * @param identity the identity of the claim, which no other claim has
 * @param fingerprint the hash of what was asked
 * @param state the state
 * @param instance the instance of the agent that holds the claim
 * @param incarnation the incarnation of that agent
 * @param deadline the deadline of the request by wall clock, in milliseconds
 * @param answer the answer; null unless done, and when it was too large to keep
 */
public record ClaimRecord(
    String identity,
    String fingerprint,
    ClaimState state,
    String instance,
    long incarnation,
    long deadline,
    RecordedAnswer answer) {

  /** Reader and writer of the JSON form. */
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /**
   * Returns the record of an order that has been answered.
   *
   * @param recorded the answer, empty when it was too large to keep
   * @return the new record
   */
  ClaimRecord withAnswer(Optional<RecordedAnswer> recorded) {
    return new ClaimRecord(
        identity,
        fingerprint,
        ClaimState.DONE,
        instance,
        incarnation,
        deadline,
        recorded.orElse(null));
  }

  /**
   * Returns the record of a claim whose call was not sent.
   *
   * @return the new record
   */
  ClaimRecord withReleased() {
    return new ClaimRecord(
        identity, fingerprint, ClaimState.RELEASED, instance, incarnation, deadline, null);
  }

  /**
   * Returns whether this is the record of a claim in a state.
   *
   * @param claimIdentity the identity of the claim
   * @param wanted the state
   * @return true when both match
   */
  boolean is(String claimIdentity, ClaimState wanted) {
    return identity.equals(claimIdentity) && state == wanted;
  }

  /**
   * Reads a record.
   *
   * @param json the JSON form
   * @return the record
   */
  static ClaimRecord parse(String json) {
    try {
      return MAPPER.readValue(json, ClaimRecord.class);
    } catch (JsonProcessingException e) {
      throw new AlmondslipException(ErrorCode.INTERNAL, "a claim record is not valid JSON");
    }
  }

  /**
   * Writes the record.
   *
   * @return the JSON form
   */
  String toJson() {
    try {
      return MAPPER.writeValueAsString(this);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a claim record has no JSON form", e);
    }
  }
}

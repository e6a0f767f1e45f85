package org.almondslip.order;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import org.almondslip.error.AlmondslipException;
import org.almondslip.error.ErrorCode;

/**
 * Record of a claimed idempotency key, stored as JSON in the table service.
 *
 * @param identity the unique identity of the claim
 * @param fingerprint the fingerprint of the request
 * @param state the state of the claim
 * @param instance the instance of the agent that holds the claim
 * @param incarnation the incarnation of that agent
 * @param deadline the deadline of the request, in milliseconds of the wall clock
 * @param answer the recorded answer; null while the state is not {@link ClaimState#DONE} or when
 *     the answer was too large to keep
 */
public record ClaimRecord(
    String identity,
    String fingerprint,
    ClaimState state,
    String instance,
    long incarnation,
    long deadline,
    RecordedAnswer answer) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /**
   * Returns this record in state {@link ClaimState#DONE}.
   *
   * @param recorded the answer, or empty when it was too large to keep
   * @return the new record
   */
  ClaimRecord asDone(Optional<RecordedAnswer> recorded) {
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
   * Returns this record in state {@link ClaimState#RELEASED}, without an answer.
   *
   * @return the new record
   */
  ClaimRecord asReleased() {
    return new ClaimRecord(
        identity, fingerprint, ClaimState.RELEASED, instance, incarnation, deadline, null);
  }

  /**
   * Returns whether this record has an identity and a state.
   *
   * @param expectedIdentity the identity to match
   * @param expectedState the state to match
   * @return true when both match
   */
  boolean matches(String expectedIdentity, ClaimState expectedState) {
    return identity.equals(expectedIdentity) && state == expectedState;
  }

  /**
   * Parses a record.
   *
   * @param json the JSON text
   * @return the record
   * @throws AlmondslipException with {@link ErrorCode#INTERNAL} when the text is not a valid record
   */
  static ClaimRecord parse(String json) {
    try {
      return MAPPER.readValue(json, ClaimRecord.class);
    } catch (JsonProcessingException e) {
      throw new AlmondslipException(ErrorCode.INTERNAL, "a claim record is not valid JSON");
    }
  }

  /**
   * Serializes this record.
   *
   * @return the JSON text
   */
  String toJson() {
    try {
      return MAPPER.writeValueAsString(this);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a claim record cannot be serialized to JSON", e);
    }
  }
}

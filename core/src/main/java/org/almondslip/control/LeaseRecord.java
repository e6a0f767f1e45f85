package org.almondslip.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.almondslip.error.AlmondslipException;
import org.almondslip.error.ErrorCode;

/**
 * Control lease of a target in the table service. It holds no point in time, since the clocks of
 * two instances cannot be compared; a waiting agent measures how long the row stays unchanged.
 *
 * @param holder the agent that holds the lease
 * @param token the fencing token, which grows with each holder
 * @param durationMillis the time for which one write of the row holds the lease
 * @param commandMillis the longest duration of the holder's commands
 */
record LeaseRecord(String holder, long token, long durationMillis, long commandMillis) {

  /** Reader and writer of the JSON form. */
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /**
   * Reads a record.
   *
   * @param json the JSON form
   * @return the record
   */
  static LeaseRecord parse(String json) {
    try {
      return MAPPER.readValue(json, LeaseRecord.class);
    } catch (JsonProcessingException e) {
      throw new AlmondslipException(ErrorCode.INTERNAL, "a lease record is not valid JSON");
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
      throw new IllegalStateException("a lease record has no JSON form", e);
    }
  }
}

package org.almondslip.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.almondslip.error.AlmondslipException;
import org.almondslip.error.ErrorCode;

/**
 * Stored form of a control lease.
 *
 * <p>It contains no timestamps because the clocks of two instances are not comparable; a waiting
 * agent measures for how long the row stays unchanged.
 *
 * @param holder the agent that holds the lease
 * @param token the fencing token, which increases with each change of holder
 * @param durationMillis the lease duration after each write of the row, in milliseconds
 * @param commandMillis the maximum duration of the holder's commands, in milliseconds
 */
record LeaseRecord(String holder, long token, long durationMillis, long commandMillis) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /**
   * Parses a record.
   *
   * @param json the JSON form
   * @return the record
   * @throws AlmondslipException with code {@code INTERNAL} if the text is not a valid record
   */
  static LeaseRecord parse(String json) {
    try {
      return MAPPER.readValue(json, LeaseRecord.class);
    } catch (JsonProcessingException e) {
      throw new AlmondslipException(ErrorCode.INTERNAL, "lease record is not valid JSON");
    }
  }

  /**
   * Converts the record to JSON.
   *
   * @return the JSON form
   */
  String toJson() {
    try {
      return MAPPER.writeValueAsString(this);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("lease record cannot be converted to JSON", e);
    }
  }
}

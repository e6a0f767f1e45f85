package org.almondslip.standins;

import io.vertx.core.json.JsonObject;

/**
 * A fault that a stand-in injects into some of its requests.
 *
 * @param mode what goes wrong
 * @param rate the portion of the matching requests, from 0 to 1
 * @param count the number of requests after which the fault ends, 0 for no end
 * @param delayMillis the delay before the request is run, in milliseconds
 * @param path the start of the paths that match
 */
public record Fault(FaultMode mode, double rate, long count, long delayMillis, String path) {

  /**
   * Reads a fault.
   *
   * @param json the JSON form
   * @return the fault
   * @throws IllegalArgumentException when the mode is not known
   */
  public static Fault of(JsonObject json) {
    String label = json.getString("mode", "");
    FaultMode mode =
        FaultMode.ofLabel(label)
            .orElseThrow(() -> new IllegalArgumentException("unknown mode '" + label + "'"));
    return new Fault(
        mode,
        json.getDouble("rate", 1.0),
        json.getLong("count", 0L),
        json.getLong("delay_ms", 0L),
        json.getString("path", "/"));
  }

  /**
   * Returns the JSON form.
   *
   * @return the JSON form
   */
  public JsonObject toJson() {
    return new JsonObject()
        .put("mode", mode.label())
        .put("rate", rate)
        .put("count", count)
        .put("delay_ms", delayMillis)
        .put("path", path);
  }
}

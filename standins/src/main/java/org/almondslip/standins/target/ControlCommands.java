package org.almondslip.standins.target;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;

/** Control commands of an engine, in the order in which they took effect. */
final class ControlCommands {

  /** Reader of JSON. */
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Whether commands with an old fencing token are refused. */
  private final boolean fencingChecked;

  /** Commands that took effect. */
  private final ArrayNode applied = JsonNodeFactory.instance.arrayNode();

  /** Highest fencing token seen. */
  private long highestToken;

  /**
   * Creates an empty record.
   *
   * @param fencingChecked whether commands with an old fencing token are refused
   */
  ControlCommands(boolean fencingChecked) {
    this.fencingChecked = fencingChecked;
  }

  /**
   * Runs a command.
   *
   * @param call the call with the command
   * @param vertx the timers
   * @param millis the time that a command takes
   */
  void handle(Call call, Vertx vertx, long millis) {
    ObjectNode answer = JsonNodeFactory.instance.objectNode();
    JsonNode command;
    try {
      command = MAPPER.readTree(call.body());
    } catch (JsonProcessingException e) {
      call.end(400, answer.put("detail", "not valid JSON"));
      return;
    }
    if (!command.path("fencingToken").canConvertToLong()) {
      call.end(400, answer.put("detail", "fencingToken must be a whole number"));
      return;
    }
    long token = command.path("fencingToken").asLong();
    if (fencingChecked && token < highestToken) {
      answer.put("detail", "the fencing token is old");
      call.end(409, answer.put("highestToken", highestToken));
      return;
    }
    highestToken = Math.max(highestToken, token);
    vertx.setTimer(
        Math.max(1, millis),
        timer -> {
          applied.add(command);
          call.end(200, answer.put("applied", true));
        });
  }

  /**
   * Lists the commands that took effect.
   *
   * @return the JSON form
   */
  ObjectNode toJson() {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("highestToken", highestToken);
    json.set("commands", applied.deepCopy());
    return json;
  }
}

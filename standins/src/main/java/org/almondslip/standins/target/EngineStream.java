package org.almondslip.standins.target;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** One request that runs on the engine. */
final class EngineStream {

  /** Call to answer. */
  private final Call call;

  /** Request of the call. */
  private final ChatRequest request;

  /** Tokens of the answer. */
  private final Completion completion;

  /** Slot time of the run. */
  private final UsageLedger.Run run;

  /** First event to send. */
  private final int first;

  /** Steps until the first token. */
  private int prefillSteps;

  /** Event to send next, from 1. */
  private int next;

  /**
   * Creates a stream.
   *
   * @param call the call to answer
   * @param request the request of the call
   * @param run the slot time of the run
   * @param prefillSteps the steps until the first token
   * @param lastEventId the last event that the caller has, 0 for none
   */
  EngineStream(
      Call call, ChatRequest request, UsageLedger.Run run, int prefillSteps, int lastEventId) {
    this.call = call;
    this.request = request;
    this.completion = Completion.of(request);
    this.run = run;
    this.prefillSteps = prefillSteps;
    this.first = lastEventId + 1;
    this.next = first;
  }

  /**
   * Returns the slot time of the run.
   *
   * @return the run
   */
  UsageLedger.Run run() {
    return run;
  }

  /** Sends the head of the answer when it is streamed. */
  void begin() {
    if (request.stream()) {
      call.beginEvents();
    }
  }

  /**
   * Makes one step.
   *
   * @param faults the faults in force
   * @return true when the stream has ended
   */
  boolean step(TargetServer.FaultSource faults) {
    if (prefillSteps > 0) {
      prefillSteps--;
      return false;
    }
    if (request.stream() && faults.faults().resetsAfter(next - first)) {
      faults.resetDone();
      call.reset();
      return true;
    }
    if (next <= completion.length()) {
      sendToken();
      return false;
    }
    finish();
    return true;
  }

  /** Sends the next token when the answer is streamed. */
  private void sendToken() {
    if (request.stream()) {
      call.write(event(next, "{\"content\":\"" + completion.token(next - 1) + "\"}", "null"));
    }
    next++;
  }

  /** Sends the end of the answer. */
  private void finish() {
    if (!request.stream()) {
      call.end(200, whole());
      return;
    }
    int end = completion.length() + 1;
    StringBuilder tail = new StringBuilder();
    if (next <= end) {
      tail.append(event(end, "{}", "\"stop\""));
    }
    if (next <= end + 1) {
      tail.append("id: ").append(end + 1).append("\ndata: [DONE]\n\n");
    }
    call.write(tail.toString());
    call.end();
  }

  /**
   * Writes an event.
   *
   * @param id the id of the event
   * @param delta the JSON form of the change
   * @param finishReason the JSON form of the reason to finish
   * @return the text of the event
   */
  private String event(int id, String delta, String finishReason) {
    return "id: "
        + id
        + "\ndata: {\"id\":\"chatcmpl-standin\",\"object\":\"chat.completion.chunk\",\"created\":0,"
        + "\"model\":\""
        + request.model()
        + "\",\"choices\":[{\"index\":0,\"delta\":"
        + delta
        + ",\"finish_reason\":"
        + finishReason
        + "}]}\n\n";
  }

  /**
   * Writes the whole answer.
   *
   * @return the JSON form
   */
  private ObjectNode whole() {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("id", "chatcmpl-standin").put("object", "chat.completion").put("created", 0);
    json.put("model", request.model());
    ObjectNode choice = json.putArray("choices").addObject();
    choice.put("index", 0).put("finish_reason", "stop");
    choice.putObject("message").put("role", "assistant").put("content", completion.text(0));
    ObjectNode usage = json.putObject("usage");
    usage.put("prompt_tokens", request.prompt().split("\\s+").length);
    usage.put("completion_tokens", completion.length());
    return json;
  }
}

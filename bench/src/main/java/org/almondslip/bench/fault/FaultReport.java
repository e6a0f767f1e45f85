package org.almondslip.bench.fault;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.almondslip.bench.load.RequestKind;
import org.almondslip.bench.load.Tally;
import org.almondslip.bench.measure.RunCheck;

/**
 * Result of one case.
 *
 * @param kind the case
 * @param struckHost address of the router that the case strikes, if it strikes one
 * @param during the load during which the fault struck
 * @param after the load after its end
 * @param runs the comparison of recorded runs and answers
 */
record FaultReport(FaultCase kind, String struckHost, Tally during, Tally after, RunCheck runs) {

  /**
   * Returns the requests whose connection to the struck router broke.
   *
   * @return the number, 0 when the case allows no broken connection
   */
  int broken() {
    return kind.mayBreakConnections() ? during.lostAt(struckHost) : 0;
  }

  /**
   * Returns the requests without a final answer.
   *
   * @return the number
   */
  int lost() {
    return during.lost() + during.outstanding() + after.lost() + after.outstanding() - broken();
  }

  /**
   * Returns the wrong answers.
   *
   * @return the number
   */
  int wrong() {
    return during.wrong().values().stream().mapToInt(Integer::intValue).sum()
        + after.wrong().values().stream().mapToInt(Integer::intValue).sum();
  }

  /**
   * Lists what the case does not allow.
   *
   * @return one sentence for each violation, none when the case has passed
   */
  List<String> violations() {
    List<String> found = new ArrayList<>();
    addIfAny(found, lost(), "requests were lost");
    addIfAny(found, wrong(), "answers were wrong");
    addIfAny(found, runs.duplicated(), "orders ran twice");
    addIfAny(found, runs.completedWithoutRun(), "orders were answered without a run");
    addIfAny(found, runs.ranAlthoughRefused(), "orders ran although refused as not run");
    during.refusedKinds().forEach((code, kinds) -> addRefusals(found, code, kinds));
    after.refused().forEach((code, n) -> found.add(n + " refused after the fault: " + code));
    kind.expectedCode()
        .filter(code -> !during.refused().containsKey(code))
        .ifPresent(code -> found.add("no request was refused with " + code));
    if (during.completed() == 0 || after.completed() == 0) {
      found.add("no request was completed");
    }
    return found;
  }

  /**
   * Returns the JSON form.
   *
   * @return the counts and the violations
   */
  ObjectNode toJson() {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("offered", during.offered() + after.offered());
    json.put("completed", during.completed() + after.completed());
    ObjectNode refused = json.putObject("refused");
    during.refused().forEach(refused::put);
    after.refused().forEach((code, n) -> refused.put(code, refused.path(code).asInt() + n));
    json.put("lost", lost()).put("broken", broken()).put("wrong", wrong());
    json.put("duplicated", runs.duplicated());
    json.put("completed_without_run", runs.completedWithoutRun());
    json.put("ran_although_refused", runs.ranAlthoughRefused());
    json.put("cut_off", during.unknownOutcomes() + after.unknownOutcomes() + lost());
    json.put("sent_again", during.sentAgain() + after.sentAgain());
    // Far above one step of an engine when the machine is busy; everything then takes longer.
    json.put("token_gap_ms_p95", during.tokenGap().getValueAtPercentile(95) / 1000);
    ArrayNode list = json.putArray("violations");
    violations().forEach(list::add);
    return json;
  }

  /**
   * Adds a sentence when a count is not 0.
   *
   * @param found receives the sentence
   * @param count the count
   * @param what what was counted
   */
  private static void addIfAny(List<String> found, int count, String what) {
    if (count > 0) {
      found.add(count + " " + what);
    }
  }

  /**
   * Adds the refusals that the case does not allow.
   *
   * @param found receives the sentences
   * @param code the code of the refusals
   * @param kinds the kinds of the refused requests
   */
  private void addRefusals(List<String> found, String code, Iterable<RequestKind> kinds) {
    for (RequestKind each : kinds) {
      if (!kind.allows(code, each)) {
        found.add(each + " refused: " + code);
      }
    }
  }
}

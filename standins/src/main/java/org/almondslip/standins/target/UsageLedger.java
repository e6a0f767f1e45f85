package org.almondslip.standins.target;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Slot time that each organisation has used at one target. */
final class UsageLedger {

  /** Slot time of runs that have ended, in milliseconds. */
  private final Map<String, Long> ended = new TreeMap<>();

  /** Runs that have not ended. */
  private final Set<Run> running = new HashSet<>();

  /** Runs that have begun. */
  private long begun;

  /** A run that holds a slot. */
  static final class Run {

    /** Organisation that pays. */
    private final String organisation;

    /** When it began, in monotonic milliseconds. */
    private final long began;

    /**
     * Creates a run.
     *
     * @param organisation the organisation that pays
     * @param began when it began, in monotonic milliseconds
     */
    private Run(String organisation, long began) {
      this.organisation = organisation;
      this.began = began;
    }
  }

  /**
   * Begins a run.
   *
   * @param organisation the organisation that pays
   * @param now the time in monotonic milliseconds
   * @return the run
   */
  Run begin(String organisation, long now) {
    Run run = new Run(organisation, now);
    running.add(run);
    begun++;
    return run;
  }

  /**
   * Ends a run. Ending it again changes nothing.
   *
   * @param run the run
   * @param now the time in monotonic milliseconds
   */
  void end(Run run, long now) {
    if (running.remove(run)) {
      ended.merge(run.organisation, now - run.began, Long::sum);
    }
  }

  /**
   * Returns the number of runs that have not ended.
   *
   * @return the number
   */
  int running() {
    return running.size();
  }

  /**
   * Returns the slot time up to now, with that of unfinished runs.
   *
   * @param now the time in monotonic milliseconds
   * @return the JSON form
   */
  ObjectNode toJson(long now) {
    Map<String, Long> total = new TreeMap<>(ended);
    running.forEach(run -> total.merge(run.organisation, now - run.began, Long::sum));
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("now", now);
    json.put("running", running.size()).put("begun", begun);
    ObjectNode organisations = json.putObject("slotMillis");
    total.forEach(organisations::put);
    Map<String, Integer> counts = new TreeMap<>();
    running.forEach(run -> counts.merge(run.organisation, 1, Integer::sum));
    ObjectNode runningBy = json.putObject("runningBy");
    counts.forEach(runningBy::put);
    return json;
  }
}

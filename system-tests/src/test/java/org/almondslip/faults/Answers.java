package org.almondslip.faults;

import java.util.ArrayList;
import java.util.List;

/** What a target answers, as a function of the body of the request. */
final class Answers {

  private static final int EVENTS = 5;

  private Answers() {}

  static List<String> eventsOf(String body) {
    List<String> events = new ArrayList<>();
    for (int i = 1; i <= EVENTS; i++) {
      events.add("id: " + i + "\ndata: " + body + "/" + i + "\n\n");
    }
    return events;
  }

  static String whole(String body) {
    return String.join("", eventsOf(body));
  }
}

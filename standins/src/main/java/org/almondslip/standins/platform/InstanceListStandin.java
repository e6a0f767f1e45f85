package org.almondslip.standins.platform;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import org.almondslip.settings.Section;
import org.almondslip.standins.HttpStandin;
import org.almondslip.standins.HttpStandin.Answer;
import org.almondslip.standins.HttpStandin.Request;
import org.almondslip.standins.Standin;
import org.almondslip.time.Clock;

/**
 * Stand-in for the instance list. Reads show the state as it was some time ago.
 *
 * <p>An entry is a JSON object with {@code role}, {@code region}, {@code data_centre}, {@code
 * address}, {@code target} and {@code leaving}. The optional {@code addresses} maps a region to the
 * address that this region sees, so that a relay can stand between regions.
 */
public final class InstanceListStandin implements HttpStandin.Service {

  /** Path of the list. */
  private static final String ROOT = "/instances";

  /** Longest lag that can be set, in milliseconds. */
  private static final long MAX_LAG_MILLIS = 600_000;

  /** Source of time. */
  private final Clock clock;

  /** How far reads lag behind, in milliseconds. */
  private final long lagMillis;

  /** States that reads may still show, the oldest first. */
  private final Deque<Snapshot> history = new ArrayDeque<>();

  /**
   * State of the list from a moment on.
   *
   * @param time the moment
   * @param entries the entries by instance id
   */
  private record Snapshot(long time, Map<String, JsonObject> entries) {}

  /**
   * Creates an empty list.
   *
   * @param clock the source of time
   * @param lagMillis how far reads lag behind, in milliseconds
   */
  public InstanceListStandin(Clock clock, long lagMillis) {
    this.clock = clock;
    this.lagMillis = lagMillis;
    history.add(new Snapshot(Long.MIN_VALUE, Map.of()));
  }

  /**
   * Reads the settings.
   *
   * @param name the name of the stand-in
   * @param section the settings
   * @return creates the stand-in
   */
  public static Standin.Factory read(String name, Section section) {
    String listen = section.address("listen");
    long lag = section.durationMillis("lag", 0, 0, MAX_LAG_MILLIS);
    return vertx ->
        new HttpStandin(name, listen, vertx, new InstanceListStandin(Clock.Standard.SYSTEM, lag));
  }

  @Override
  public Answer handle(Request request) {
    String rest = request.path().startsWith(ROOT) ? request.path().substring(ROOT.length()) : "?";
    if (request.method().equals("GET") && rest.isEmpty()) {
      return new Answer(200, list(request.parameter("region")).toBuffer());
    }
    if (!rest.startsWith("/")) {
      return Answer.of(404);
    }
    return switch (request.method()) {
      case "PUT" -> change(rest.substring(1), request.body().toJsonObject());
      case "DELETE" -> change(rest.substring(1), new JsonObject());
      default -> Answer.of(405);
    };
  }

  /**
   * Changes an entry.
   *
   * @param id the instance
   * @param entry the new entry, empty to remove it
   * @return the answer
   */
  private synchronized Answer change(String id, JsonObject entry) {
    Map<String, JsonObject> entries = new TreeMap<>(history.getLast().entries());
    if (entry.isEmpty()) {
      entries.remove(id);
    } else {
      entries.put(id, entry.copy().put("id", id));
    }
    history.add(new Snapshot(clock.millis(), entries));
    return Answer.of(200);
  }

  /**
   * Returns the list as a region sees it.
   *
   * @param region the region that asks
   * @return the list
   */
  private synchronized JsonObject list(String region) {
    long visible = clock.millis() - lagMillis;
    while (history.size() > 1 && secondTime() <= visible) {
      history.removeFirst();
    }
    JsonArray instances = new JsonArray();
    for (JsonObject entry : history.getFirst().entries().values()) {
      JsonObject seen = entry.copy();
      JsonObject addresses = entry.getJsonObject("addresses", new JsonObject());
      seen.put("address", addresses.getString(region, entry.getString("address")));
      seen.remove("addresses");
      instances.add(seen);
    }
    return new JsonObject().put("instances", instances);
  }

  /**
   * Returns the time of the second oldest state.
   *
   * @return the time
   */
  private long secondTime() {
    return history.stream().skip(1).findFirst().map(Snapshot::time).orElse(Long.MAX_VALUE);
  }
}

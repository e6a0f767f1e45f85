package org.almondslip.standins;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.WeakHashMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Faults of one stand-in; decides for each request which of them applies. */
public final class FaultSwitch {

  /** Source of the choice of requests; seeded, so that runs can be repeated. */
  private final UniformRandomProvider random;

  /** Connections that have sent requests; forgotten with the connection. */
  private final Set<Object> seen = java.util.Collections.newSetFromMap(new WeakHashMap<>());

  /** Connections that are never answered again. */
  private final Set<Object> silent = java.util.Collections.newSetFromMap(new WeakHashMap<>());

  /** Active faults with the number of requests they have hit. */
  private final List<Active> active = new ArrayList<>();

  /** A fault with its use. */
  private static final class Active {

    /** Fault. */
    private final Fault fault;

    /** Requests it has hit. */
    private long hits;

    /**
     * Creates the state of a new fault.
     *
     * @param fault the fault
     */
    Active(Fault fault) {
      this.fault = fault;
    }
  }

  /**
   * Creates a switch without faults.
   *
   * @param seed the seed of the choice of requests
   */
  public FaultSwitch(long seed) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /**
   * Replaces all faults. Connections that were made silent stay so.
   *
   * @param faults the new faults; none to end all
   */
  public synchronized void replace(List<Fault> faults) {
    active.clear();
    faults.forEach(fault -> active.add(new Active(fault)));
    if (faults.stream().anyMatch(fault -> fault.mode() == FaultMode.SILENT_OPEN)) {
      silent.addAll(seen);
    }
  }

  /**
   * Decides which fault hits a request.
   *
   * @param connection the connection of the request
   * @param path the path of the request
   * @return the fault, or empty when the request is handled normally
   */
  public synchronized Optional<Fault> next(Object connection, String path) {
    seen.add(connection);
    if (silent.contains(connection)) {
      return Optional.of(new Fault(FaultMode.SILENT, 1, 0, 0, "/"));
    }
    for (Active candidate : active) {
      Fault fault = candidate.fault;
      boolean left = fault.count() == 0 || candidate.hits < fault.count();
      boolean matches = fault.mode() != FaultMode.SILENT_OPEN && path.startsWith(fault.path());
      if (left && matches && random.nextDouble() < fault.rate()) {
        candidate.hits++;
        return Optional.of(fault);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the JSON form of all faults.
   *
   * @return the faults with the number of requests they have hit
   */
  public synchronized JsonArray toJson() {
    JsonArray json = new JsonArray();
    active.forEach(entry -> json.add(entry.fault.toJson().put("hits", entry.hits)));
    return json;
  }

  /**
   * Reads faults.
   *
   * @param text one fault or a list of them, as JSON; an empty object for none
   * @return the faults
   */
  public static List<Fault> parse(String text) {
    List<Fault> faults = new ArrayList<>();
    if (text.stripLeading().startsWith("[")) {
      JsonArray list = new JsonArray(text);
      for (int i = 0; i < list.size(); i++) {
        faults.add(Fault.of(list.getJsonObject(i)));
      }
    } else {
      JsonObject single = new JsonObject(text);
      if (!single.isEmpty()) {
        faults.add(Fault.of(single));
      }
    }
    return faults;
  }
}

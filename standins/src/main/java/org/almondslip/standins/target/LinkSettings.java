package org.almondslip.standins.target;

import java.util.ArrayList;
import java.util.List;
import org.almondslip.settings.Section;
import org.almondslip.standins.Standin;

/**
 * Settings of a link.
 *
 * @param control address that takes faults, as {@code ip:port}
 * @param delayMicros one-way delay in microseconds
 * @param routes relayed addresses
 */
public record LinkSettings(String control, long delayMicros, List<Route> routes) {

  /** Separator between the two addresses of a route. */
  private static final String ARROW = "->";

  /** Longest delay that settings accept, in microseconds. */
  private static final long MAX_DELAY_MICROS = 10_000_000;

  /**
   * Copies the list.
   *
   * @param control the address that takes faults
   * @param delayMicros the one-way delay in microseconds
   * @param routes the relayed addresses
   */
  public LinkSettings {
    routes = List.copyOf(routes);
  }

  /**
   * One relayed address.
   *
   * @param listen the address to listen on
   * @param connect the address to connect to
   */
  public record Route(String listen, String connect) {}

  /**
   * Reads the settings of a link. A route is written as {@code ip:port->ip:port}. Delays are whole
   * microseconds since links of 0.4 ms are below the unit of durations.
   *
   * @param name the name of the stand-in
   * @param section its section
   * @return a factory of the link
   */
  public static Standin.Factory read(String name, Section section) {
    String control = section.address("listen");
    long delay = section.integer("one_way_delay_micros", 0, 0, MAX_DELAY_MICROS);
    List<Route> routes = new ArrayList<>();
    for (String text : section.texts("routes")) {
      int arrow = text.indexOf(ARROW);
      if (arrow < 0) {
        section.report("routes", "must be written as ip:port->ip:port, not '" + text + "'");
      } else {
        routes.add(new Route(text.substring(0, arrow), text.substring(arrow + ARROW.length())));
      }
    }
    LinkSettings settings = new LinkSettings(control, delay, routes);
    return vertx -> new Link(name, settings, vertx);
  }
}

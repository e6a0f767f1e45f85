package org.almondslip.directory;

import java.util.OptionalInt;
import org.almondslip.residency.AllowedRegions;

/**
 * Organisation that an API key identifies.
 *
 * @param name the name of the organisation
 * @param priority the priority of its requests, which overrides the priority of the route; 0 is the
 *     highest
 * @param allowedRegions the regions in which its requests may be served
 */
public record Organisation(String name, OptionalInt priority, AllowedRegions allowedRegions) {

  /**
   * Creates an organisation whose requests may be served in any region.
   *
   * @param name the name of the organisation
   * @param priority the priority of its requests
   */
  public Organisation(String name, OptionalInt priority) {
    this(name, priority, AllowedRegions.ANY);
  }
}

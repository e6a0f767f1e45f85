package org.almondslip.directory;

import java.util.OptionalInt;

/**
 * Organisation that an API key identifies.
 *
 * @param name the name of the organisation
 * @param priority the priority of its requests, which overrides the priority of the route; 0 is the
 *     highest
 */
public record Organisation(String name, OptionalInt priority) {}

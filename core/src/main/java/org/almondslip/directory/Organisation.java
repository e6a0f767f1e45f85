package org.almondslip.directory;

import java.util.OptionalInt;

/**
 * Organisation as the holder of an API key.
 *
 * @param name the name of the organisation
 * @param priority the rank of its requests, which takes precedence over the rank of a route
 */
public record Organisation(String name, OptionalInt priority) {}

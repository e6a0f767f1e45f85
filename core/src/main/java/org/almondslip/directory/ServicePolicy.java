package org.almondslip.directory;

/**
 * Properties that the operator configures for the targets of a service.
 *
 * @param name the name of the service
 * @param kvCapacityTokens the capacity of an engine's key-value cache, in tokens; 0 for a service
 *     without engines
 */
public record ServicePolicy(String name, long kvCapacityTokens) {}

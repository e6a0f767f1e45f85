package org.almondslip.directory;

/**
 * What the operator says of the targets of a service.
 *
 * @param name the name of the service
 * @param kvCapacityTokens the tokens that the memory of one engine holds, 0 for a plain service
 */
public record ServicePolicy(String name, long kvCapacityTokens) {}

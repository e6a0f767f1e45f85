package org.almondslip.placement;

import java.util.OptionalInt;

/**
 * Load that a target states in a response.
 *
 * @param running the number of running requests
 * @param waiting the number of waiting requests
 * @param slots the number of slots
 * @param workPercent the present duration of work in percent of the usual one; empty if the target
 *     does not state it
 */
public record TargetStatus(int running, int waiting, int slots, OptionalInt workPercent) {}

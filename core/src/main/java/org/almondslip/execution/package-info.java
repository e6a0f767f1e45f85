/** Deterministic state machine of an agent: grants, slots, running requests and their answers. */
package org.almondslip.execution;

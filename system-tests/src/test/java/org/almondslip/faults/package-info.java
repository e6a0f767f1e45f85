/**
 * Routers, agents and fakes of their surroundings on one manual clock, with faults at chosen steps.
 */
package org.almondslip.faults;

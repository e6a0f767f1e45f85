/** Stand-ins for the systems outside the fleet, for tests, demo and benchmarks. */
package org.almondslip.standins;

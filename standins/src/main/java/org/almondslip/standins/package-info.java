/** Stand-ins for the outside systems, for tests, the demo and the benchmark. */
package org.almondslip.standins;

/** Loads during which a fault strikes the processes of a deployment. */
package org.almondslip.bench.fault;

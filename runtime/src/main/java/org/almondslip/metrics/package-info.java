/** Health, readiness and metrics of a process. */
package org.almondslip.metrics;

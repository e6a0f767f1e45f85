/** Health, readiness and metrics endpoints of a process. */
package org.almondslip.metrics;

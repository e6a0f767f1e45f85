/** Measures of fairness, utilisation, traffic, memory and processor time. */
package org.almondslip.bench.measure;

/** Growth of processor time, bytes and memory of the decision code with the size of the fleet. */
package org.almondslip.bench.slopes;

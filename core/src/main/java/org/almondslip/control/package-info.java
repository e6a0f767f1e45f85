/** Lease with a fencing token that limits control commands of a target to one sender. */
package org.almondslip.control;

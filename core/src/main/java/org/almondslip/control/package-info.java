/** Lease with fencing token that decides who may send control commands to a target. */
package org.almondslip.control;

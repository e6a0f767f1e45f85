/** Clock of the decision logic, in milliseconds. */
package org.almondslip.time;

/** Processes of the fleet, how they find each other and which of them have a special duty. */
package org.almondslip.membership;

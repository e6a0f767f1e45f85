/** Membership of the fleet: discovery of processes, dial backoff and role election. */
package org.almondslip.membership;

/** Threads that handle events from bounded queues. */
package org.almondslip.duty;

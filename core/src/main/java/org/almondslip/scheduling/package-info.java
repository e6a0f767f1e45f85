/** Selection of the next request for a free slot. */
package org.almondslip.scheduling;

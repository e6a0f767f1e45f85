/** Rules on where requests may be served. */
package org.almondslip.residency;

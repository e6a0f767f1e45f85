/** Limits on the work that routers add to the requests of their callers. */
package org.almondslip.budget;

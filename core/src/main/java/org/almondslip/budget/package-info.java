/** Limits on the retries that routers add to the requests of their callers. */
package org.almondslip.budget;

/** What routers that call targets themselves tell each other about load and service. */
package org.almondslip.report;

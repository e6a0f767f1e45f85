/** Load and service reports exchanged between routers that call targets directly. */
package org.almondslip.report;

/** Startup and graceful shutdown of a process. */
package org.almondslip.process;

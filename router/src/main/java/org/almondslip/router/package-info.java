/** The router program: callers' HTTP API, decision thread and metrics. */
package org.almondslip.router;

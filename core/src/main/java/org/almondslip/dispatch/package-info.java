/** Queueing, fair sharing and admission control of the requests that wait for a target. */
package org.almondslip.dispatch;

/** Order and admission of the requests that wait for a target. */
package org.almondslip.dispatch;

/** Accounting of the service that each flow has received across the fleet. */
package org.almondslip.accounting;

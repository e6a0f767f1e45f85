/** Accounts of the service that each flow has received in the whole fleet. */
package org.almondslip.accounting;

/** Claims of idempotency keys, which let an order run at most once, in the table service. */
package org.almondslip.order;

/** Claims of idempotency keys in the table service. */
package org.almondslip.order;

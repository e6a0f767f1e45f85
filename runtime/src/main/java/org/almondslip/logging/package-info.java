/** Log records as JSON lines. */
package org.almondslip.logging;
